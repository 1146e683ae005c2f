package reservation

import (
	"time"

	"damsonkeel/internal/record"
)

// Observation is what is known of a reservation's present occurrence.
type Observation struct {
	Now        Moment
	ClockError time.Duration // by how much any controller's time of day may be off
	Lead       time.Duration // how long before its time resources are held
	// JobAccepted: its job was accepted; Wanted of its tasks are within what is
	// reserved, Started of them have started so far, or are done.
	JobAccepted     bool
	Wanted, Started int
	// Risk is why it may not be kept; empty: no reason is known.
	Risk string
}

// maxPastOutcomes is how many outcomes are kept in a record.
const maxPastOutcomes = 12

// Advance is the state machine of a reservation: it returns the record as it
// should be, and whether that differs.
//
//	accepted -> holding   its time is near
//	holding  -> used      its job has started, as far as it was reserved for
//	holding  -> expired   its job did not come in the time it is held
//	used, expired -> accepted, for its next time if it recurs
//
// One that was not seen in time, as no controller held its lease, goes through the same
// states late. Cancelled is never left.
func Advance(r record.Reservation, w Schedule, s Observation) (record.Reservation, bool) {
	began := beginHolding(&r, s)
	ended := endHolding(&r, s)
	risk := updateRisk(&r, s)
	recurred := recur(&r, w, s)
	return r, began || ended || risk || recurred
}

// beginHolding begins to hold resources once the time is near.
func beginHolding(r *record.Reservation, s Observation) bool {
	if r.State != record.Accepted || s.Now < After(r.StartMS, -s.Lead) {
		return false
	}
	r.State = record.Holding
	return true
}

// endHolding ends holding resources once the job has started, or did not come in time.
func endHolding(r *record.Reservation, s Observation) bool {
	if r.State != record.Holding {
		return false
	}
	holdEnded := s.Now >= After(afterSeconds(r.StartMS, r.Spec.HoldS), s.ClockError)
	ended := s.Now >= After(r.StartMS, MaxDuration(&r.Spec))
	switch {
	case s.JobAccepted && s.Started >= s.Wanted:
		r.State = record.Used
	case holdEnded && !s.JobAccepted, ended:
		r.State = record.Expired
	default:
		return false
	}
	return true
}

// updateRisk notes why an active reservation may not be kept, and since when.
func updateRisk(r *record.Reservation, s Observation) bool {
	if s.Risk == r.Risk || r.State != record.Holding && r.State != record.Accepted {
		return false
	}
	switch {
	case s.Risk == "":
		r.RiskMS = 0
	case r.Risk == "":
		r.RiskMS = s.Now
	}
	r.Risk = s.Risk
	return true
}

// recur goes on from an occurrence that is over to the next one that can still be met:
// several may have passed unseen.
func recur(r *record.Reservation, w Schedule, s Observation) bool {
	if r.State != record.Used && r.State != record.Expired || !w.Recurs() {
		return false
	}
	for _, next := range w.Occurrences(r.StartMS+1, After(s.Now, Horizon)) {
		if afterSeconds(next, r.Spec.HoldS) <= s.Now {
			continue
		}
		outcome := record.Outcome{StartMS: r.StartMS, State: r.State, EndMS: s.Now, Risk: r.Risk}
		r.Past = append(r.Past[max(0, len(r.Past)-maxPastOutcomes+1):], outcome)
		r.State, r.StartMS, r.Risk, r.RiskMS = record.Accepted, next, "", 0
		return true
	}
	return false
}
