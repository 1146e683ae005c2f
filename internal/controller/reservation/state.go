package reservation

import (
	"time"

	"damsonkeel/internal/record"
)

// Observation is what is known of a reservation's present occurrence.
type Observation struct {
	Now        Moment
	ClockError time.Duration // reportedBy how much any controller's time of day may be off
	Lead       time.Duration // how long before its time room is held
	// Came: its job was accepted; Wanted of its tasks are within what is
	// reserved, Started of them have started so far, or are done.
	Came            bool
	Wanted, Started int
	// Risk is why it may not be kept; empty: nothing is known to be in the way.
	Risk string
}

// pastMost is how many outcomes are kept in a record.
const pastMost = 12

// Advance is the state machine of a reservation: it returns the record as it
// should be, and whether that differs.
//
//	accepted -> holding   its time is near
//	holding  -> used      its job has started, as far as it was reserved for
//	holding  -> expired   its job did not come in the time it is held
//	used, expired -> accepted, for its next time if it recurs
//
// One that was not seen in time, as nobody could act, goes through the same
// states late. Cancelled is not left any more.
func Advance(r record.Reservation, w When, s Observation) (record.Reservation, bool) {
	changed := false
	to := func(state record.ReservationState) {
		r.State, changed = state, true
	}
	if r.State == record.Accepted && s.Now >= After(r.StartMS, -s.Lead) {
		to(record.Holding)
	}
	if r.State == record.Holding {
		over := s.Now >= After(afterS(r.StartMS, r.Spec.HoldS), s.ClockError)
		late := s.Now >= After(r.StartMS, Busy(&r.Spec))
		switch {
		case s.Came && s.Started >= s.Wanted:
			to(record.Used)
		case over && !s.Came, late:
			to(record.Expired)
		}
	}
	if s.Risk != r.Risk && (r.State == record.Holding || r.State == record.Accepted) {
		if (s.Risk == "") != (r.Risk == "") {
			r.RiskMS = s.Now
		}
		if r.Risk, changed = s.Risk, true; r.Risk == "" {
			r.RiskMS = 0
		}
	}
	if (r.State == record.Used || r.State == record.Expired) && w.Recurs() {
		// The next one that can still be met: several may have passed unseen.
		for _, next := range w.Occurrences(r.StartMS+1, After(s.Now, Ahead)) {
			if afterS(next, r.Spec.HoldS) <= s.Now {
				continue
			}
			r.Past = append(r.Past[max(0, len(r.Past)-pastMost+1):], record.Outcome{StartMS: r.StartMS, State: r.State, EndMS: s.Now, Risk: r.Risk})
			r.State, r.StartMS, r.Risk, r.RiskMS = record.Accepted, next, "", 0
			changed = true
			break
		}
	}
	return r, changed
}
