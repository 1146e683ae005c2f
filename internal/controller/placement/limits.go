package placement

import (
	"cmp"
	"sort"
	"time"

	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// LimitSharedAfter is how long a job waits before other jobs of its team leave it a part of
// the team's limit.
const LimitSharedAfter = 30 * time.Second

// withinLimit reports whether n more tasks keep the team within its limit.
func (p *Placer) withinLimit(job *jobs.Job, usage map[protocol.Team]resource.Amount, n int) bool {
	team, ok := p.Team(job.Team)
	if !ok {
		return false
	}
	used := usage[job.Team].Plus(p.limitClaimed(job))
	return (team.MaxCPUs == 0 || used.CPUs+job.CPUs*float64(n) <= team.MaxCPUs+resource.Slack) &&
		(team.MaxGPUs == 0 || used.GPUs+job.GPUs*float64(n) <= team.MaxGPUs+resource.Slack)
}

// limitClaimed returns the part of a team's limit that is reserved for other jobs by the
// time at which a task of this one is likely to end.
func (p *Placer) limitClaimed(job *jobs.Job) resource.Amount {
	if !p.reservations.ClaimsLimitOf(job.Team) {
		return resource.Amount{}
	}
	return p.reservations.LimitClaimed(&job.Job, p.jobs.EstimateRunSeconds(job))
}

// queuesWithinLimit reports whether one more task of a job may be queued on a machine
// within its team's limit. Queued tasks count against the limit, and one task's part of it
// is left to the longest-waiting other job of the team, unless the job itself has waited
// longer. Otherwise that job would wait beside machines with free resources, for a limit
// used up by tasks that do not run. If a part were left to each waiting job, nothing would
// be queued where many wait, and jobs with large tasks would take whatever becomes free.
func (p *Placer) queuesWithinLimit(job, longestWaiting *jobs.Job, usage map[protocol.Team]resource.Amount) bool {
	total := map[protocol.Team]resource.Amount{job.Team: usage[job.Team]}
	waitsLongest := longestWaiting == nil || p.waitsForLimit(job) && compareWaiting(job, longestWaiting) < 0
	if !waitsLongest {
		p.jobs.AddUsage(longestWaiting, total, 1)
	}
	return p.withinLimit(job, total, 1)
}

// longestWaiting returns the job that has waited longest of the other jobs of a job's
// team, if the team has a limit and that job has waited for longer than LimitSharedAfter.
func (p *Placer) longestWaiting(job *jobs.Job) (longest *jobs.Job) {
	if !p.Limited(job.Team) {
		return nil
	}
	for _, other := range p.jobs.ByID {
		if other == job || other.Team != job.Team || !p.waitsForLimit(other) {
			continue
		}
		if longest == nil || compareWaiting(other, longest) < 0 {
			longest = other
		}
	}
	return longest
}

// waitsForLimit reports whether nothing of an array has been placed for LimitSharedAfter.
func (p *Placer) waitsForLimit(job *jobs.Job) bool {
	return job.Kind != protocol.KindGang && p.nothingPlacedFor(job, LimitSharedAfter)
}

// compareWaiting orders jobs by how long they have waited, longest first.
func compareWaiting(a, b *jobs.Job) int {
	return cmp.Or(cmp.Compare(a.WaitingSince, b.WaitingSince), cmp.Compare(a.ID, b.ID))
}

// countWithinLimit returns how many of n more tasks keep the team within its limit.
func (p *Placer) countWithinLimit(job *jobs.Job, usage map[protocol.Team]resource.Amount, n int) int {
	return sort.Search(n, func(k int) bool { return !p.withinLimit(job, usage, k+1) })
}

// excludedByReservations returns a predicate for the machines on which a job's tasks may
// not be placed because of reservations; nil if there are none.
func (p *Placer) excludedByReservations(job *jobs.Job) func(m *waittable.Machine) bool {
	if !p.reservations.Active() {
		return nil
	}
	return p.reservations.Exclusion(&job.Job, job.Level, p.jobs.EstimateRunSeconds(job))
}
