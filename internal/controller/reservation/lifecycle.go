package reservation

import (
	"time"

	"damsonkeel/internal/record"
)

// Observation is the observed state of the current occurrence of a reservation.
type Observation struct {
	Now        Moment
	ClockError time.Duration // by how much the wall clock of any controller may be off
	Lead       time.Duration // how long before the start the hold of resources begins
	// JobAccepted reports that the job of the reservation was accepted. Wanted is the
	// number of its tasks that the reservation covers, Started the number of these that
	// have started, including those that are done.
	JobAccepted     bool
	Wanted, Started int
	// Risk is why the reservation may not be kept; empty if no reason is known.
	Risk string
}

// maxPastOutcomes bounds the outcomes of past occurrences in a record.
const maxPastOutcomes = 12

// AdvanceState is the state machine of a reservation: it returns the updated record, and whether
// it differs from the given one.
//
//	accepted -> holding   its start is near
//	holding  -> used      all tasks of its job that it covers have started
//	holding  -> expired   no job was accepted while resources were held, or the
//	                      occurrence ended first
//	used, expired -> accepted, for its next occurrence if it recurs
//
// If no controller held a lease in the meantime, a reservation goes through the same states
// late. Cancelled is a final state.
func AdvanceState(r record.Reservation, schedule Schedule, observed Observation) (record.Reservation, bool) {
	began := beginHolding(&r, observed)
	ended := endHolding(&r, observed)
	risk := updateRisk(&r, observed)
	recurred := startNextOccurrence(&r, schedule, observed)
	return r, began || ended || risk || recurred
}

// beginHolding changes an accepted reservation to holding once its start is no further away
// than the lead. It reports whether it has changed the record.
func beginHolding(r *record.Reservation, observed Observation) bool {
	if r.State != record.Accepted || observed.Now < After(r.StartMS, -observed.Lead) {
		return false
	}
	r.State = record.Holding
	return true
}

// endHolding changes a holding reservation to used once all tasks that it covers of an accepted
// job have started. It changes it to expired if no job was accepted within HoldS after the
// start plus the clock error, or once the longest duration of an occurrence has passed. It
// reports whether it has changed the record.
func endHolding(r *record.Reservation, observed Observation) bool {
	if r.State != record.Holding {
		return false
	}
	holdEnded := observed.Now >= After(afterSeconds(r.StartMS, r.Spec.HoldS), observed.ClockError)
	ended := observed.Now >= After(r.StartMS, MaxOccurrenceDuration(&r.Spec))
	switch {
	case observed.JobAccepted && observed.Started >= observed.Wanted:
		r.State = record.Used
	case holdEnded && !observed.JobAccepted, ended:
		r.State = record.Expired
	default:
		return false
	}
	return true
}

// updateRisk records the observed risk of an accepted or holding reservation, and since when
// there has been one. It reports whether it has changed the record.
func updateRisk(r *record.Reservation, observed Observation) bool {
	if observed.Risk == r.Risk || r.State != record.Holding && r.State != record.Accepted {
		return false
	}
	switch {
	case observed.Risk == "":
		r.RiskMS = 0
	case r.Risk == "":
		r.RiskMS = observed.Now
	}
	r.Risk = observed.Risk
	return true
}

// startNextOccurrence changes a recurring reservation that is used or expired to accepted for
// its next occurrence whose time to hold resources has not passed, and adds the outcome of the
// ended one to the record. It skips occurrences that passed while no controller was active. It
// reports whether it has changed the record.
func startNextOccurrence(r *record.Reservation, schedule Schedule, observed Observation) bool {
	if r.State != record.Used && r.State != record.Expired || !schedule.Recurs() {
		return false
	}
	for _, next := range schedule.Occurrences(r.StartMS+1, After(observed.Now, Horizon)) {
		if afterSeconds(next, r.Spec.HoldS) <= observed.Now {
			continue
		}
		outcome := record.Outcome{StartMS: r.StartMS, State: r.State, EndMS: observed.Now, Risk: r.Risk}
		r.Past = append(r.Past[max(0, len(r.Past)-maxPastOutcomes+1):], outcome)
		r.State, r.StartMS, r.Risk, r.RiskMS = record.Accepted, next, "", 0
		return true
	}
	return false
}
