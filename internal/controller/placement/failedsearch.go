package placement

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/jobs"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// failedSearch is a search for places that found none left: what asks for as much
// or more, and may go to no other machines, need not look before a time. With
// hundreds of small jobs waiting for a full fleet, each of them looking at all
// machines ten times a second took more than a controller's whole share:
// docs/incidents/2026-12-01-small-jobs-use-up-a-controller.md.
type failedSearch struct {
	need  resource.Amount
	level resource.Level
	rank  int
	class string
	types []protocol.MachineType
	zone  protocol.Zone
	spot  bool
	// yields: it may have only what others leave, and not wait in a queue.
	yields bool
	until  clock.Time
}

const (
	// SearchedAtOnce is how many machines may be looked at, a step, for arrays that
	// are likely to find no place.
	SearchedAtOnce = 3000
	// failedSearchesMost bounds the searches remembered.
	failedSearchesMost = 64
)

// noteFailedSearch remembers that a job's search for places found none any more.
func (pl *Placer) noteFailedSearch(o *jobs.Job) {
	if o.OneZone || o.Spread || len(o.FailedOn) > 0 || pl.reservations.Any || len(pl.failedSearches) >= failedSearchesMost {
		return // where it may go depends on more than what is remembered
	}
	pl.failedSearches = append(pl.failedSearches, failedSearch{
		need: resource.Need(&o.Job), level: o.Level, rank: o.Priority.Rank(), class: o.Class, types: o.Types, zone: o.Zone, spot: o.Spot, yields: o.UsesHeadroom,
	})
	every := Interval * time.Duration(max(1, len(pl.failedSearches)*len(pl.table.InOrder())/SearchedAtOnce))
	pl.failedSearches[len(pl.failedSearches)-1].until = pl.After(every)
}

// forgetFailedSearches drops the searches that are too long ago to tell anything.
func (pl *Placer) forgetFailedSearches() {
	pl.failedSearches = slices.DeleteFunc(pl.failedSearches, func(v failedSearch) bool { return v.until <= pl.Now })
}

// wouldFindNone reports whether a job's search would find no place, as another's has not.
// Room kept for a class is room for its own jobs.
func (pl *Placer) wouldFindNone(o *jobs.Job) bool {
	if pl.reservations.Any {
		return false
	}
	need := resource.Need(&o.Job)
	for i := range pl.failedSearches {
		v := &pl.failedSearches[i]
		if need.Covers(v.need) && o.Level <= v.level && o.Priority.Rank() <= v.rank && (v.spot || !o.Spot) &&
			(v.zone == "" || v.zone == o.Zone) && (len(v.types) == 0 || slices.Equal(v.types, o.Types)) &&
			(v.class == o.Class || !pl.HasStartObjective(&o.Job)) && (o.UsesHeadroom || !v.yields) {
			return true
		}
	}
	return false
}
