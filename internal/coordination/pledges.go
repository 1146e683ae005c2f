package coordination

import (
	"damsonkeel/internal/bookkeeping"
	"damsonkeel/internal/config"
	"damsonkeel/internal/coordination/calendar"
	"damsonkeel/internal/coordination/forecast"
	"damsonkeel/internal/coordination/room"
	"damsonkeel/internal/protocol"
	"slices"
	"time"
)

// pledges is what all parts know of the calendar: the records that all follow,
// what is held for them at present, and what is open.
type pledges struct {
	book    *calendar.Book
	version protocol.Version // of the calendar's own record
	changes uint64           // that it counts
	// any: there is something in the book. While it is empty nothing of this
	// costs anything, on the wire either.
	any bool

	holds   map[protocol.MachineID][]calendar.Hold
	list    []calendar.Hold // all of them
	listed  bool            // the list is known since this session began
	windows []openWindow    // open, or soon

	errors map[string]*forecast.Errors // of estimates, by class
	boots  forecast.Boots
}

// anew forgets what a session knew; what is learned of estimates and boots stays.
func (p *pledges) anew() *pledges {
	fresh := &pledges{book: calendar.NewBook(), holds: map[protocol.MachineID][]calendar.Hold{}, errors: map[string]*forecast.Errors{}}
	if p != nil {
		fresh.boots, fresh.errors = p.boots, p.errors
	}
	return fresh
}

// openWindow is a window that is open, or will be.
type openWindow struct {
	spec       *bookkeeping.WindowSpec
	start, end calendar.Moment // with what clocks may be off by
}

// of tells which reservations a job is one of.
func (k *known) of(j *protocol.Job) func(calendar.Name) bool {
	return func(n calendar.Name) bool {
		e := k.pledged.book.Reservation(n)
		return e != nil && calendar.Matches(e.Reservation, j)
	}
}

// inWindow reports whether a window that covers a machine is open at some time
// from a moment until before another.
func (k *known) inWindow(id protocol.MachineID, t protocol.MachineType, z protocol.Zone, from, to calendar.Moment) bool {
	for i := range k.pledged.windows {
		w := &k.pledged.windows[i]
		if w.end > from && w.start < to && calendar.Covers(w.spec, id, t, z) {
			return true
		}
	}
	return false
}

// lead is how long before its time a reservation's room is clear: as long as
// another machine takes to come, and one more in its place.
func (k *known) lead(s *bookkeeping.ReservationSpec) time.Duration {
	boot := 0.0
	for _, t := range k.types { // those the cloud has none of at present, too: this must not change from moment to moment
		if calendar.Fits(s, t, s.Zone) {
			boot = max(boot, k.pledged.boots.Likely(t.BootS))
		}
	}
	return config.Seconds(2*boot) + leadSlack
}

// unsettled reports whether what ends at a moment might be in the way of something
// that room was held for before all controllers ended: until it is held anew,
// that waits.
func (k *known) unsettled(j *protocol.Job, ends calendar.Moment) bool {
	pr := k.pledged
	if pr.listed || k.since(k.begun) > settleHolds+10*time.Second {
		return false
	}
	of, now := k.of(j), k.moment()
	return slices.ContainsFunc(pr.book.Due(now, max(ends, now+1)), func(e *calendar.Entry) bool {
		return e.Promised() && !of(e.Name()) && ends > calendar.After(e.StartMS, -k.lead(&e.Reservation.Spec))
	})
}

// likelyS is how long a task is very likely to run at the most, in seconds.
func (k *known) likelyS(j *protocol.Job, estimateS float64) float64 {
	return estimateS * k.pledged.errors[j.Class].Factor()
}

func (k *known) reservationOf(n calendar.Name) *bookkeeping.Reservation {
	if e := k.pledged.book.Reservation(n); e != nil {
		return e.Reservation
	}
	return noReservation
}

// promisedEnd is when a task is reckoned to be over by what is promised: no later
// than its own room is held, which no window cuts short.
func promisedEnd(holds []calendar.Hold, t *calendar.Task) calendar.Moment {
	if until := calendar.OwnUntil(holds, t.Of); until != 0 {
		return min(t.Ends, until)
	}
	return t.Ends
}

// reservedBy is what of a machine's room counts as taken now by what is held.
func reservedBy(hs []calendar.Hold, now calendar.Moment) (sum room.Amount) {
	for _, h := range hs {
		if now >= h.Clear && now < h.Until {
			sum = sum.Plus(h.Need)
		}
	}
	return sum
}

// noReservation stands for one that is not there: it matches no job.
var noReservation = &bookkeeping.Reservation{Spec: bookkeeping.ReservationSpec{Job: "none"}}

// leadSlack is what a hold is clear before its time beyond two boots: one more
// if a machine does not come up.
const leadSlack = 20 * time.Second

// settleHolds is how long, after all have ended, it takes at the most until
// room is held anew: machines have to be heard first.
const settleHolds = 20 * time.Second
