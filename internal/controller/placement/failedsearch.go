package placement

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// failedSearch is a search that found no machine for a task. Until it expires, a job that
// needs as much or more and may use no other machines is not searched for. Without this,
// hundreds of small jobs that wait for a full fleet each examine all machines ten times a
// second, which takes more than a controller's whole processor time:
// docs/incidents/2026-12-01-small-jobs-use-up-a-controller.md.
type failedSearch struct {
	need         resource.Amount
	level        resource.Level
	rank         int // of the priority
	class        string
	types        []protocol.MachineType
	zone         protocol.Zone
	spot         bool
	usesHeadroom bool // the job was confined to the headroom, and could not be queued
	until        clock.Time
}

const (
	// MaxExaminedForArrays is how many machines may be examined in a step for arrays that are
	// unlikely to find a place.
	MaxExaminedForArrays = 3000
	// maxFailedSearches bounds the searches that are remembered.
	maxFailedSearches = 64
)

// recordFailedSearch remembers that the search for a job's next task found no machine.
func (p *Placer) recordFailedSearch(job *jobs.Job) {
	if job.OneZone || job.Spread || len(job.FailedOn) > 0 || p.reservations.Any || len(p.failedSearches) >= maxFailedSearches {
		return // its feasible machines depend on more than is remembered
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
	search.until = p.After(Interval * time.Duration(stepsToSkip))
	p.failedSearches = append(p.failedSearches, search)
}

// expireFailedSearches drops the failed searches that no longer tell anything.
func (p *Placer) expireFailedSearches() {
	p.failedSearches = slices.DeleteFunc(p.failedSearches, func(s failedSearch) bool { return s.until <= p.Now })
}

// wouldFindNone reports whether the search for a job's next task would fail because one
// that could use at least the same machines has failed.
func (p *Placer) wouldFindNone(job *jobs.Job) bool {
	if p.reservations.Any {
		return false
	}
	need := resource.Need(&job.Job)
	for i := range p.failedSearches {
		if p.failedSearches[i].implies(job, need) && p.mayUseNoOtherReserve(job, &p.failedSearches[i]) {
			return true
		}
	}
	return false
}

// implies reports whether a job asks for as much or more than the failed search, on no
// other machines and with no higher level, apart from the reserves of classes.
func (s *failedSearch) implies(job *jobs.Job, need resource.Amount) bool {
	return need.Covers(s.need) && job.Level <= s.level && job.Priority.Rank() <= s.rank &&
		(s.spot || !job.Spot) &&
		(s.zone == "" || s.zone == job.Zone) &&
		(len(s.types) == 0 || slices.Equal(s.types, job.Types)) &&
		(job.ConfinedToHeadroom || !s.usesHeadroom)
}

// mayUseNoOtherReserve reports whether no class reserve is open to a job that was closed to
// the failed search: a class's reserve may be used by its own jobs.
func (p *Placer) mayUseNoOtherReserve(job *jobs.Job, s *failedSearch) bool {
	return s.class == job.Class || !p.HasStartObjective(&job.Job)
}
