package placement

import (
	"cmp"
	"slices"

	"damsonkeel/internal/controller/jobs"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// SetLevels tells which owned jobs fit into their team's guarantee, together
// with the team's earlier unfinished jobs.
func (pl *Placer) SetLevels() {
	used := map[protocol.Team]resource.Amount{}
	bySubmission := slices.Clone(pl.jobs.InOrder())
	slices.SortStableFunc(bySubmission, func(a, b *jobs.Job) int { return cmp.Compare(a.SubmittedMS, b.SubmittedMS) })
	for _, o := range bySubmission {
		t, ok := pl.Team(o.Team)
		if !ok || !pl.HasGuarantee(o.Team) {
			pl.setLevel(o, resource.LevelOf(o.Priority, false))
			continue
		}
		n := float64(o.Tasks - o.DoneCount)
		u := used[o.Team].Plus(resource.Amount{CPUs: n * o.CPUs, GPUs: n * o.GPUs})
		used[o.Team] = u
		pl.setLevel(o, resource.LevelOf(o.Priority, u.CPUs <= t.CPUs+resource.Slack && u.GPUs <= t.GPUs+resource.Slack))
	}
}

// setLevel sets a job's level, and has it told if anybody reckons with it.
func (pl *Placer) setLevel(o *jobs.Job, l resource.Level) {
	if o.Level != l && pl.reservations.Any {
		pl.jobs.Touch(o)
	}
	o.Level = l
}
