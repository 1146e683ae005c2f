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

const (
	// LeadSlack is how much earlier than two boots before its start the resources of a
	// reservation are free: enough for one more boot if a machine does not come up.
	LeadSlack = 20 * time.Second
	// SettleHolds is the longest that it takes, after all controllers have restarted,
	// until resources are held again: machines have to be in contact first.
	SettleHolds = 20 * time.Second
	// settleSlack is how much longer this controller waits for the list of holds.
	settleSlack = 10 * time.Second
	// leadBoots is how many boots before its start the resources of a reservation are
	// free: one of a machine, and one of another in its place.
	leadBoots = 2
)

// noReservation stands in for a reservation that does not exist: it matches no job.
var noReservation = &record.Reservation{Spec: record.ReservationSpec{Job: "none"}}

// Reservations is what all modules know of the calendar: the reservations and windows as
// recorded, the resources held for them at present, and the windows that are open.
type Reservations struct {
	Calendar *reservation.Calendar
	Version  protocol.Version // of the calendar's own record
	Changes  uint64           // that this record counts
	// Any: the calendar has an entry. While it has none, no decision or message differs
	// from those of a cluster without a calendar.
	Any bool

	Holds   map[protocol.MachineID][]reservation.Hold
	List    []reservation.Hold // all holds
	Listed  bool               // the list was received in this session
	Windows []OpenWindow       // open now, or soon

	Errors map[string]*forecast.Errors // of run time estimates, by class
	Boots  forecast.Boots
}

// next returns the state of a new session: what was learned of estimates and boots stays.
func (r *Reservations) next() *Reservations {
	fresh := &Reservations{
		Calendar: reservation.NewCalendar(),
		Holds:    map[protocol.MachineID][]reservation.Hold{},
		Errors:   map[string]*forecast.Errors{},
	}
	if r != nil {
		fresh.Boots = r.Boots
		fresh.Errors = r.Errors
	}
	return fresh
}

// OpenWindow is a maintenance window that is open, or will be.
type OpenWindow struct {
	Spec       *record.WindowSpec
	Start, End reservation.Moment // with a margin for differences of clocks
}

// ReservationFilter returns a function that reports whether a reservation is for a job.
func (s *State) ReservationFilter(job *protocol.Job) func(reservation.Name) bool {
	return func(name reservation.Name) bool {
		entry := s.Reservations.Calendar.Reservation(name)
		return entry != nil && reservation.Matches(entry.Reservation, job)
	}
}

// InWindow reports whether a window that covers a machine is open at any time from one
// moment until before another.
func (s *State) InWindow(id protocol.MachineID, machineType protocol.MachineType, zone protocol.Zone, from, to reservation.Moment) bool {
	for i := range s.Reservations.Windows {
		w := &s.Reservations.Windows[i]
		if w.End > from && w.Start < to && reservation.Covers(w.Spec, id, machineType, zone) {
			return true
		}
	}
	return false
}

// NoticeBefore returns how long before its start the resources of a reservation are free:
// as long as a machine takes to boot, and another in its place.
func (s *State) NoticeBefore(spec *record.ReservationSpec) time.Duration {
	bootS := 0.0
	// Types that the cloud is out of at present count too: the result must not change
	// from one moment to the next.
	for _, machineType := range s.Types {
		if reservation.Fits(spec, machineType, spec.Zone) {
			bootS = max(bootS, s.Reservations.Boots.Likely(machineType.BootS))
		}
	}
	return config.Seconds(leadBoots*bootS) + LeadSlack
}

// SpansReservation reports whether a task that ends at a moment could be in the way of a
// reservation whose resources were held before all controllers restarted. Until they are
// held again, such a task waits.
func (s *State) SpansReservation(job *protocol.Job, ends reservation.Moment) bool {
	if s.Reservations.Listed || s.Since(s.SessionStart) > SettleHolds+settleSlack {
		return false
	}
	own := s.ReservationFilter(job)
	now := s.WallTime()
	due := s.Reservations.Calendar.Due(now, max(ends, now+1))
	return slices.ContainsFunc(due, func(entry *reservation.Entry) bool {
		if !entry.Active() || own(entry.Name()) {
			return false
		}
		return ends > reservation.After(entry.StartMS, -s.NoticeBefore(&entry.Reservation.Spec))
	})
}

// ReservationOf returns the reservation of a name, or one that matches no job.
func (s *State) ReservationOf(name reservation.Name) *record.Reservation {
	if entry := s.Reservations.Calendar.Reservation(name); entry != nil {
		return entry.Reservation
	}
	return noReservation
}

// ReservedEnd returns when a task is assumed to have ended: no later than its own
// resources are held, which no window shortens.
func ReservedEnd(holds []reservation.Hold, task *reservation.Task) reservation.Moment {
	if until := reservation.ReservedUntil(holds, task.IsOf); until != 0 {
		return min(task.Ends, until)
	}
	return task.Ends
}

// ReservedBy returns how much of a machine's resources its holds reserve now.
func ReservedBy(holds []reservation.Hold, now reservation.Moment) (sum resource.Amount) {
	for _, hold := range holds {
		if now >= hold.Clear && now < hold.Until {
			sum = sum.Plus(hold.Need)
		}
	}
	return sum
}
