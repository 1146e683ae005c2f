package controller

import (
	"cmp"
	"slices"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// setLevels tells which owned jobs fit into their team's guarantee, together
// with the team's earlier unfinished jobs.
func (c *Core) setLevels() {
	used := map[protocol.Team]resource.Amount{}
	jobs := slices.Clone(c.jobsInOrder())
	slices.SortStableFunc(jobs, func(a, b *ownedJob) int { return cmp.Compare(a.SubmittedMS, b.SubmittedMS) })
	for _, o := range jobs {
		t, ok := c.Team(o.Team)
		if !ok || !c.HasGuarantee(o.Team) {
			c.setLevel(o, resource.LevelOf(o.Priority, false))
			continue
		}
		n := float64(o.Tasks - o.nDone)
		u := used[o.Team].Plus(resource.Amount{CPUs: n * o.CPUs, GPUs: n * o.GPUs})
		used[o.Team] = u
		c.setLevel(o, resource.LevelOf(o.Priority, u.CPUs <= t.CPUs+resource.Slack && u.GPUs <= t.GPUs+resource.Slack))
	}
}

// setLevel sets a job's level, and has it told if anybody reckons with it.
func (c *Core) setLevel(o *ownedJob, l resource.Level) {
	if o.level != l && c.reservations.Any {
		c.ownedChanges.Touch(o.ID)
	}
	o.level = l
}
