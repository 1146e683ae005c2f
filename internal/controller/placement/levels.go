package placement

import (
	"cmp"
	"slices"

	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// SetLevels sets the levels of the owned jobs by their priority and their team's guarantee. A
// job is within the guarantee if the guaranteed processors and GPUs cover all unfinished tasks
// of the job and of the team's jobs that were submitted earlier.
func (p *Placer) SetLevels() {
	used := map[protocol.Team]resource.Amount{}
	bySubmission := slices.Clone(p.jobs.InPlacementOrder())
	slices.SortStableFunc(bySubmission, func(a, b *jobs.Job) int { return cmp.Compare(a.SubmittedMS, b.SubmittedMS) })
	for _, job := range bySubmission {
		team, ok := p.Team(job.Team)
		if !ok || !p.HasGuarantee(job.Team) {
			p.setLevel(job, resource.LevelOf(job.Priority, false))
			continue
		}
		unfinished := float64(job.Tasks - job.DoneCount)
		sum := used[job.Team].Plus(resource.Amount{CPUs: unfinished * job.CPUs, GPUs: unfinished * job.GPUs})
		used[job.Team] = sum
		guaranteed := sum.CPUs <= team.CPUs+resource.Tolerance && sum.GPUs <= team.GPUs+resource.Tolerance
		p.setLevel(job, resource.LevelOf(job.Priority, guaranteed))
	}
}

// setLevel sets a job's level. Peers need the level only while there are reservations; only
// then is a change replicated to them.
func (p *Placer) setLevel(job *jobs.Job, level resource.Level) {
	if job.Level != level && p.reservations.HasEntries {
		p.jobs.MarkProgressChanged(job)
	}
	job.Level = level
}
