package placement

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// failedSearch is a search that found no machine for a task. Until it expires, no search is
// made for a job that needs as much or more and may use no other machines. Without this,
// hundreds of small jobs that are pending while the fleet is full each examine all machines
// ten times a second, which exceeds a controller's whole processor time:
// docs/incidents/2026-12-01-small-jobs-use-up-a-controller.md.
type failedSearch struct {
	need         resource.Amount
	level        resource.Level
	rank         int // rank of the job's priority
	class        string
	types        []protocol.MachineType
	zone         protocol.Zone
	spot         bool
	usesHeadroom bool // the job was confined to the headroom and could not be queued
	expiresAt    clock.Time
}

const (
	// MaxExaminedForArrays is how many machines may be examined on average per step for arrays
	// whose last search failed. It determines when a failed search expires.
	MaxExaminedForArrays = 3000
	// maxFailedSearches is the maximum number of recorded failed searches.
	maxFailedSearches = 64
)

// recordFailedSearch records that the search for a job's next task found no machine. It records
// nothing if the job must run in one zone or be spread, if it has failed on a machine, if the
// calendar has reservations or maintenance windows, or if maxFailedSearches are recorded. The
// more searches are recorded and the more machines there are, the later the search expires.
func (p *Placer) recordFailedSearch(job *jobs.Job) {
	if job.OneZone || job.Spread || len(job.FailedOn) > 0 || p.reservations.HasEntries || len(p.failedSearches) >= maxFailedSearches {
		return // the job's feasible machines depend on more than a failedSearch records
	}
	search := failedSearch{
		need:         resource.Need(&job.Job),
		level:        job.Level,
		rank:         job.Priority.Rank(),
		class:        job.Class,
		types:        job.Types,
		zone:         job.Zone,
		spot:         job.Spot,
		usesHeadroom: job.ConfinedToHeadroom,
	}
	stepsToSkip := max(1, (len(p.failedSearches)+1)*len(p.table.InOrder())/MaxExaminedForArrays)
	search.expiresAt = p.After(Interval * time.Duration(stepsToSkip))
	p.failedSearches = append(p.failedSearches, search)
}

// expireFailedSearches drops the failed searches that have expired.
func (p *Placer) expireFailedSearches() {
	p.failedSearches = slices.DeleteFunc(p.failedSearches, func(s failedSearch) bool { return s.expiresAt <= p.Now })
}

// searchWouldFail reports whether the search for a job's next task would fail because a
// recorded search for no larger task that could use at least the same machines has failed. It
// is false while the calendar has reservations or maintenance windows.
func (p *Placer) searchWouldFail(job *jobs.Job) bool {
	if p.reservations.HasEntries {
		return false
	}
	need := resource.Need(&job.Job)
	for i := range p.failedSearches {
		if p.failedSearches[i].impliesFailureFor(job, need) && p.mayUseNoOtherReserve(job, &p.failedSearches[i]) {
			return true
		}
	}
	return false
}

// impliesFailureFor reports whether a job needs as much as the failed search or more, may
// use no other machines and has no higher level. It does not consider the reserves of
// classes.
func (s *failedSearch) impliesFailureFor(job *jobs.Job, need resource.Amount) bool {
	return need.Covers(s.need) && job.Level <= s.level && job.Priority.Rank() <= s.rank &&
		(s.spot || !job.Spot) &&
		(s.zone == "" || s.zone == job.Zone) &&
		(len(s.types) == 0 || slices.Equal(s.types, job.Types)) &&
		(job.ConfinedToHeadroom || !s.usesHeadroom)
}

// mayUseNoOtherReserve reports whether a job may use no class reserve that the failed search
// could not use: the reserve of a class may be used by the jobs of that class. Either both have
// the same class, or the job's class has no start objective and thus no reserve.
func (p *Placer) mayUseNoOtherReserve(job *jobs.Job, s *failedSearch) bool {
	return s.class == job.Class || !p.HasStartObjective(&job.Job)
}
