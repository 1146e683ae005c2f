package placement

import (
	"cmp"
	"sort"
	"time"

	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/waittable"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// withinLimit reports whether n more tasks keep the team within its limit.
func (pl *Placer) withinLimit(o *jobs.Job, usage map[protocol.Team]resource.Amount, n int) bool {
	t, ok := pl.Team(o.Team)
	if !ok {
		return false
	}
	u := usage[o.Team].Plus(pl.limitClaimed(o))
	return (t.MaxCPUs == 0 || u.CPUs+o.CPUs*float64(n) <= t.MaxCPUs+resource.Slack) &&
		(t.MaxGPUs == 0 || u.GPUs+o.GPUs*float64(n) <= t.MaxGPUs+resource.Slack)
}

// LimitClaimed is what of a team's limit is promised to other jobs by the time that a
// task of this one is likely to be over.
func (pl *Placer) limitClaimed(o *jobs.Job) resource.Amount {
	if !pl.reservations.ClaimsLimitOf(o.Team) {
		return resource.Amount{}
	}
	return pl.reservations.LimitClaimed(&o.Job, pl.jobs.EstimateOf(o))
}

// LimitPatience is how long a job waits before others of its team leave it a part of the
// team's limit.
const LimitPatience = 30 * time.Second

// queuesWithinLimit reports whether one more task may wait in a machine's queue within
// its team's limit: what waits there counts, and one task is left of the limit to that
// job of the team of which nothing has begun for longest, and for a while: to other,
// unless the job itself has waited longer. Else it would
// wait beside machines with room, for a limit that is used up by what does not run. Left
// to all such jobs, nothing would be queued where many wait, and whatever is large would
// take what comes free.
func (pl *Placer) queuesWithinLimit(o, other *jobs.Job, usage map[protocol.Team]resource.Amount) bool {
	left := map[protocol.Team]resource.Amount{o.Team: usage[o.Team]}
	if other != nil && !(pl.waitsForLimit(o) && bySince(o, other) < 0) {
		pl.jobs.AddUse(other, left, 1)
	}
	return pl.withinLimit(o, left, 1)
}

// longestWaiting is that other job of a job's team, if the team has a limit, of which
// nothing has begun for longest, and for a while.
func (pl *Placer) longestWaiting(o *jobs.Job) (first *jobs.Job) {
	if !pl.Limited(o.Team) {
		return nil
	}
	for _, other := range pl.jobs.ByID {
		if other != o && other.Team == o.Team && pl.waitsForLimit(other) && (first == nil || bySince(other, first) < 0) {
			first = other
		}
	}
	return first
}

func (pl *Placer) waitsForLimit(o *jobs.Job) bool {
	return o.Kind != protocol.KindGang && pl.notBegunFor(o, LimitPatience)
}

func bySince(a, b *jobs.Job) int {
	return cmp.Or(cmp.Compare(a.WaitingSince, b.WaitingSince), cmp.Compare(a.ID, b.ID))
}

// mayStart is how many of n more tasks keep the team within its limit.
func (pl *Placer) mayStart(o *jobs.Job, usage map[protocol.Team]resource.Amount, n int) int {
	return sort.Search(n, func(k int) bool { return !pl.withinLimit(o, usage, k+1) })
}

// Excluded tells on which machines a job's tasks may not be placed for what is
// promised there; nil: nothing is.
func (pl *Placer) excludedByHolds(o *jobs.Job) func(m *waittable.Machine) bool {
	if !pl.reservations.Active() {
		return nil
	}
	return pl.reservations.Excluded(&o.Job, o.Level, pl.jobs.EstimateOf(o))
}
