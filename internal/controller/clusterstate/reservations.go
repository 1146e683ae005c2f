package clusterstate

import (
	"slices"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Reservations is what all parts know of the calendar: the records that all follow,
// what is held for them at present, and what is open.
type Reservations struct {
	Calendar *reservation.Calendar
	Version  protocol.Version // reservation the calendar's own record
	Changes  uint64           // that it counts
	// any: there is something in the book. While it is empty nothing of this
	// reduces anything, on the wire either.
	Any bool

	Holds   map[protocol.MachineID][]reservation.Hold
	List    []reservation.Hold // all of them
	Listed  bool               // the list is known since this session began
	Windows []OpenWindow       // open, or soon

	Errors map[string]*forecast.Errors // reservation estimates, by class
	Boots  forecast.Boots
}

// next forgets what a session knew; what is learned of estimates and boots stays.
func (p *Reservations) next() *Reservations {
	fresh := &Reservations{Calendar: reservation.NewCalendar(), Holds: map[protocol.MachineID][]reservation.Hold{}, Errors: map[string]*forecast.Errors{}}
	if p != nil {
		fresh.Boots, fresh.Errors = p.Boots, p.Errors
	}
	return fresh
}

// OpenWindow is a window that is open, or will be.
type OpenWindow struct {
	Spec       *record.WindowSpec
	Start, End reservation.Moment // with what clocks may be off by
}

// ReservationFilter tells which reservations a job is one of.
func (k *State) ReservationFilter(j *protocol.Job) func(reservation.Name) bool {
	return func(n reservation.Name) bool {
		e := k.Reservations.Calendar.Reservation(n)
		return e != nil && reservation.Matches(e.Reservation, j)
	}
}

// InWindow reports whether a window that covers a machine is open at some time
// from a moment until before another.
func (k *State) InWindow(id protocol.MachineID, t protocol.MachineType, z protocol.Zone, from, to reservation.Moment) bool {
	for i := range k.Reservations.Windows {
		w := &k.Reservations.Windows[i]
		if w.End > from && w.Start < to && reservation.Covers(w.Spec, id, t, z) {
			return true
		}
	}
	return false
}

// NoticeBefore is how long before its time a reservation's room is clear: as long as
// another machine takes to come, and one more in its place.
func (k *State) NoticeBefore(s *record.ReservationSpec) time.Duration {
	boot := 0.0
	for _, t := range k.Types { // those the cloud has none of at present, too: this must not change from moment to moment
		if reservation.Fits(s, t, s.Zone) {
			boot = max(boot, k.Reservations.Boots.Likely(t.BootS))
		}
	}
	return config.Seconds(2*boot) + LeadSlack
}

// SpansReservation reports whether what ends at a moment might be in the way of something
// that room was held for before all controllers ended: until it is held anew,
// that waits.
func (k *State) SpansReservation(j *protocol.Job, ends reservation.Moment) bool {
	pr := k.Reservations
	if pr.Listed || k.Since(k.SessionStart) > SettleHolds+10*time.Second {
		return false
	}
	of, now := k.ReservationFilter(j), k.WallTime()
	return slices.ContainsFunc(pr.Calendar.Due(now, max(ends, now+1)), func(e *reservation.Entry) bool {
		return e.Active() && !of(e.Name()) && ends > reservation.After(e.StartMS, -k.NoticeBefore(&e.Reservation.Spec))
	})
}

// ExpectedRunSeconds is how long a task is very likely to run at the most, in seconds.
func (k *State) ExpectedRunSeconds(j *protocol.Job, estimateS float64) float64 {
	return estimateS * k.Reservations.Errors[j.Class].Factor()
}

// ReservationOf is the reservation of a name, or one that matches no job.
func (k *State) ReservationOf(n reservation.Name) *record.Reservation {
	if e := k.Reservations.Calendar.Reservation(n); e != nil {
		return e.Reservation
	}
	return noReservation
}

// ReservedEnd is when a task is reckoned to be over by what is promised: no later
// than its own room is held, which no window cuts short.
func ReservedEnd(holds []reservation.Hold, t *reservation.Task) reservation.Moment {
	if until := reservation.OwnUntil(holds, t.Of); until != 0 {
		return min(t.Ends, until)
	}
	return t.Ends
}

// ReservedBy is what of a machine's room counts as taken now by what is held.
func ReservedBy(hs []reservation.Hold, now reservation.Moment) (sum resource.Amount) {
	for _, h := range hs {
		if now >= h.Clear && now < h.Until {
			sum = sum.Plus(h.Need)
		}
	}
	return sum
}

// noReservation stands for one that is not there: it matches no job.
var noReservation = &record.Reservation{Spec: record.ReservationSpec{Job: "none"}}

// LeadSlack is what a hold is clear before its time beyond two boots: one more
// if a machine does not come up.
const LeadSlack = 20 * time.Second

// SettleHolds is how long, after all have ended, it takes at the most until
// room is held anew: machines have to be heard first.
const SettleHolds = 20 * time.Second
