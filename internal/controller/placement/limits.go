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

// LimitSharedAfter is how long a job waits before a part of its team's limit is left to it by
// other jobs of the team.
const LimitSharedAfter = 30 * time.Second

// withinLimit reports whether n more tasks of a job keep its team within its limits of
// processors and GPUs, given the usage of the teams and the parts of the limits that
// reservations claim for other jobs. It is false if the team is not in the configuration.
func (p *Placer) withinLimit(job *jobs.Job, usage map[protocol.Team]resource.Amount, n int) bool {
	team, ok := p.Team(job.Team)
	if !ok {
		return false
	}
	used := usage[job.Team].Plus(p.limitReservedForOthers(job))
	return (team.MaxCPUs == 0 || used.CPUs+job.CPUs*float64(n) <= team.MaxCPUs+resource.Tolerance) &&
		(team.MaxGPUs == 0 || used.GPUs+job.GPUs*float64(n) <= team.MaxGPUs+resource.Tolerance)
}

// limitReservedForOthers returns the part of the team's limit that reservations claim for
// other jobs by the time at which a task of the given job is likely to end.
func (p *Placer) limitReservedForOthers(job *jobs.Job) resource.Amount {
	if !p.reservations.HasTeamClaims(job.Team) {
		return resource.Amount{}
	}
	return p.reservations.ClaimedByOthers(&job.Job, p.jobs.EstimateRunSeconds(job))
}

// mayQueueWithinLimit reports whether one more task of a job may be queued on a machine within
// its team's limit. longestWaiting is the result of Placer.longestWaiting. Queued tasks count
// against the limit, and the part of it that one task needs is left to the longest-waiting
// other job of the team, unless the job itself has waited longer. Otherwise that other job
// would be pending while machines have free resources, because tasks that do not run have used
// up the limit. If a part were left to each waiting job, no task would be queued when many jobs
// wait, and jobs with large tasks would get all resources that become free.
func (p *Placer) mayQueueWithinLimit(job, longestWaiting *jobs.Job, usage map[protocol.Team]resource.Amount) bool {
	total := map[protocol.Team]resource.Amount{job.Team: usage[job.Team]}
	waitsLongest := longestWaiting == nil || p.isDueLimitShare(job) && compareWaiting(job, longestWaiting) < 0
	if !waitsLongest {
		p.jobs.AddUsage(longestWaiting, total, 1)
	}
	return p.withinLimit(job, total, 1)
}

// longestWaiting returns, of the other jobs of a job's team that have waited for longer than
// LimitSharedAfter, the one that has waited longest. It returns nil if there is none or the
// team has no limit.
func (p *Placer) longestWaiting(job *jobs.Job) (longest *jobs.Job) {
	if !p.MayHaveLimit(job.Team) {
		return nil
	}
	for _, other := range p.jobs.ByID {
		if other == job || other.Team != job.Team || !p.isDueLimitShare(other) {
			continue
		}
		if longest == nil || compareWaiting(other, longest) < 0 {
			longest = other
		}
	}
	return longest
}

// isDueLimitShare reports whether a job is an array that has waited for longer than
// LimitSharedAfter and has no task that is placed or done.
func (p *Placer) isDueLimitShare(job *jobs.Job) bool {
	return job.Kind != protocol.KindGang && p.hasWaitedUnplaced(job, LimitSharedAfter)
}

// compareWaiting orders jobs by how long they have waited, longest first.
func compareWaiting(a, b *jobs.Job) int {
	return cmp.Or(cmp.Compare(a.WaitingSince, b.WaitingSince), cmp.Compare(a.ID, b.ID))
}

// countWithinLimit returns how many of n more tasks of a job keep its team within its limit, as
// checked by withinLimit.
func (p *Placer) countWithinLimit(job *jobs.Job, usage map[protocol.Team]resource.Amount, n int) int {
	return sort.Search(n, func(k int) bool { return !p.withinLimit(job, usage, k+1) })
}

// excludedByReservations returns a predicate for the machines on which a job's tasks may not be
// placed, because they would run into a maintenance window or use resources that are held for
// others. It is nil if there are neither holds nor open windows.
func (p *Placer) excludedByReservations(job *jobs.Job) func(m *waittable.Machine) bool {
	if !p.reservations.Active() {
		return nil
	}
	return p.reservations.Exclusion(&job.Job, job.Level, p.jobs.EstimateRunSeconds(job))
}
