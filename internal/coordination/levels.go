package coordination

import (
	"cmp"
	"damsonkeel/internal/coordination/room"
	"damsonkeel/internal/protocol"
	"slices"
)

// setLevels tells which owned jobs fit into their team's guarantee, together
// with the team's earlier unfinished jobs.
func (c *Core) setLevels() {
	used := map[protocol.Team]room.Amount{}
	jobs := slices.Clone(c.jobsInOrder())
	slices.SortStableFunc(jobs, func(a, b *ownedJob) int { return cmp.Compare(a.SubmittedMS, b.SubmittedMS) })
	for _, o := range jobs {
		t, ok := c.Team(o.Team)
		if !ok || !c.Guarantees(o.Team) {
			c.setLevel(o, room.LevelOf(o.Priority, false))
			continue
		}
		n := float64(o.Tasks - o.nDone)
		u := used[o.Team].Plus(room.Amount{CPUs: n * o.CPUs, GPUs: n * o.GPUs})
		used[o.Team] = u
		c.setLevel(o, room.LevelOf(o.Priority, u.CPUs <= t.CPUs+room.Slack && u.GPUs <= t.GPUs+room.Slack))
	}
}

// setLevel sets a job's level, and has it told if anybody reckons with it.
func (c *Core) setLevel(o *ownedJob, l room.Level) {
	if o.level != l && c.reservations.Any {
		c.ownedChanged.Touch(o.ID)
	}
	o.level = l
}
