package holds

import (
	"slices"

	"damsonkeel/internal/controller/waittable"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// Holds is what a controller reckons of the calendar as an owner, and as the
// one that chooses where room is held.
type Holds struct {
	clusterstate.Module
	*clusterstate.Reservations
	table *waittable.Table
	// Progress tells how far a live job is, as far as this controller knows.
	progress func(protocol.JobID) (message.Progress, bool)
	// announce has what is told of every machine told anew.
	announce func()

	holdsWrittenAt clock.Time // when the list was last written
	Stale          bool       // it has changed since
	// heldVersion is that of the list in the records, as followed.
	heldVersion protocol.Version
	Number      uint64 // of the list, by the controller that chose it
	teamClaims  map[protocol.Team][]teamClaim

	// liveByClass are the live jobs of the classes that something is due for within
	// windowsAhead, as of the last relay period.
	liveByClass map[string][]*clusterstate.LiveJob
	seenJobs    map[reservation.Name]*seenJob
}

// teamClaim is what of a team's limit is promised from a time on.
type teamClaim struct {
	reservation reservation.Name
	need        resource.Amount
	from        reservation.Moment
}

// seenJob is what was seen of the jobs of one occurrence that are over.
type seenJob struct {
	start reservation.Moment
	tasks int
}

// New holds nothing yet. It is given how far jobs are, and how to have
// what is told of every machine told anew.
func New(p clusterstate.Module, table *waittable.Table, progress func(protocol.JobID) (message.Progress, bool), announce func()) *Holds {
	return &Holds{Module: p, table: table, progress: progress, announce: announce}
}

// Reset forgets everything a session knew.
func (rh *Holds) Reset() {
	*rh = Holds{
		Module: rh.Module, Reservations: rh.State.Reservations, table: rh.table, progress: rh.progress, announce: rh.announce,
		seenJobs: map[reservation.Name]*seenJob{},
	}
}

// Set takes over what is held.
func (rh *Holds) Set(list []reservation.Hold) {
	pr := rh
	pr.List = list
	pr.Holds = map[protocol.MachineID][]reservation.Hold{}
	for _, h := range list {
		pr.Holds[h.Machine] = append(pr.Holds[h.Machine], h)
	}
	rh.computeReserved()
	rh.table.PlacementDue = true
}

// dropHolds frees at once what was held for a reservation that is over: a controller
// that hears of that before the next list does not wait for it.
func (rh *Holds) dropHolds(n reservation.Name) {
	held := func(h reservation.Hold) bool { return h.For == n }
	if slices.ContainsFunc(rh.List, held) {
		rh.Set(slices.DeleteFunc(slices.Clone(rh.List), held))
	}
}

// IsReserved reports whether room is held for a job by what is promised.
func (rh *Holds) IsReserved(j *protocol.Job) bool {
	of := rh.ReservationFilter(j)
	return slices.ContainsFunc(rh.List, func(h reservation.Hold) bool { return of(h.For) })
}

// LimitClaimed is what of a team's limit is promised to other jobs by the time
// that a task of this one is likely to be over.
func (rh *Holds) LimitClaimed(j *protocol.Job, estimateS float64) (sum resource.Amount) {
	claims := rh.teamClaims[j.Team]
	ends := reservation.After(rh.WallTime(), config.Seconds(rh.ExpectedRunSeconds(j, estimateS)))
	of := rh.ReservationFilter(j)
	for _, t := range claims {
		if ends > t.from && !of(t.reservation) {
			sum = sum.Plus(t.need)
		}
	}
	return sum
}

// ClaimsLimitOf reports whether a part of a team's limit is promised to reserved jobs.
func (rh *Holds) ClaimsLimitOf(team protocol.Team) bool {
	return len(rh.teamClaims[team]) > 0
}
