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
	// LeadSlack is added to the time that leadBoots boots take, to give the time before the
	// start of a reservation from which its resources must be free: enough for one more boot
	// if a machine fails to boot.
	LeadSlack = 20 * time.Second
	// HoldsSettleTime is the maximum time from a restart of all controllers until resources
	// are held for reservations again: machines have to send heartbeats first.
	HoldsSettleTime = 20 * time.Second
	// settleSlack is how much longer than HoldsSettleTime this controller waits for the list
	// of holds.
	settleSlack = 10 * time.Second
	// leadBoots is the number of boots that must fit between the time when the resources
	// of a reservation are free and its start: one of a machine, and one of a replacement.
	leadBoots = 2
)

// noReservation is used in place of a reservation that does not exist. It matches no job.
var noReservation = &record.Reservation{Spec: record.ReservationSpec{Job: "none"}}

// Reservations is the state of the calendar that all modules read: the recorded
// reservations and maintenance windows, the resources that are held for reservations now,
// and the windows that are open or about to open.
type Reservations struct {
	Calendar *reservation.Calendar
	Version  protocol.Version // version of the calendar's own record
	Changes  uint64           // number of accepted changes of the calendar that this record counts
	// HasEntries is set if the calendar has an entry. While it has none, all decisions and
	// messages are the same as in a cluster without a calendar.
	HasEntries bool

	Holds       map[protocol.MachineID][]reservation.Hold
	List        []reservation.Hold // all holds, as the controller that chooses them listed them
	HoldsListed bool               // List was chosen, received from a peer or read in this session
	Windows     []OpenWindow       // maintenance windows that are open or open soon

	Errors map[string]*forecast.EstimateErrors // errors of run time estimates, by class
	Boots  forecast.BootTimes                  // errors of boot time estimates
}

// forNewSession returns an empty state for a new session that keeps only the observed errors of
// run time and boot time estimates. The receiver may be nil: then nothing is kept.
func (r *Reservations) forNewSession() *Reservations {
	next := &Reservations{
		Calendar: reservation.NewCalendar(),
		Holds:    map[protocol.MachineID][]reservation.Hold{},
		Errors:   map[string]*forecast.EstimateErrors{},
	}
	if r != nil {
		next.Boots = r.Boots
		next.Errors = r.Errors
	}
	return next
}

// OpenWindow is an occurrence of a maintenance window that is open or opens soon.
type OpenWindow struct {
	Spec       *record.WindowSpec
	Start, End reservation.Moment // extended by a margin for clock differences
}

// ReservationFilter returns a function that reports whether a job may use the resources of the
// current occurrence of a reservation. It is false for a name without a reservation.
func (s *State) ReservationFilter(job *protocol.Job) func(reservation.Name) bool {
	return func(name reservation.Name) bool {
		entry := s.Reservations.Calendar.Reservation(name)
		return entry != nil && reservation.MatchesJob(entry.Reservation, job)
	}
}

// InWindow reports whether a window that covers a machine is open at any time in the
// half-open interval [from, to).
func (s *State) InWindow(id protocol.MachineID, machineType protocol.MachineType, zone protocol.Zone, from, to reservation.Moment) bool {
	for i := range s.Reservations.Windows {
		w := &s.Reservations.Windows[i]
		if w.End > from && w.Start < to && reservation.WindowCovers(w.Spec, id, machineType, zone) {
			return true
		}
	}
	return false
}

// ReservationLeadTime returns how long before its start the resources of a reservation must be
// free: the time that a machine and then a replacement take to boot, plus LeadSlack.
func (s *State) ReservationLeadTime(spec *record.ReservationSpec) time.Duration {
	bootS := 0.0
	// Types that the cloud can't provide now count too, so that the result does not
	// change with their availability.
	for _, machineType := range s.Types {
		if reservation.FitsMachineType(spec, machineType, spec.Zone) {
			bootS = max(bootS, s.Reservations.Boots.LikelySeconds(machineType.BootS))
		}
	}
	return config.Seconds(leadBoots*bootS) + LeadSlack
}

// OverlapsUnlistedReservation reports whether a task that ends at a given time could use
// resources of a reservation that were held before all controllers restarted and are not held
// again yet: the reservation is accepted or held, it does not match the job, and its resources
// must be free before the task ends. Such a task waits until the list of holds is received, or
// until HoldsSettleTime and settleSlack have passed since the start of the session.
func (s *State) OverlapsUnlistedReservation(job *protocol.Job, ends reservation.Moment) bool {
	if s.Reservations.HoldsListed || s.Since(s.SessionStart) > HoldsSettleTime+settleSlack {
		return false
	}
	own := s.ReservationFilter(job)
	now := s.WallTime()
	due := s.Reservations.Calendar.DueReservations(now, max(ends, now+1))
	return slices.ContainsFunc(due, func(entry *reservation.Entry) bool {
		if !entry.Active() || own(entry.Name()) {
			return false
		}
		return ends > reservation.After(entry.StartMS, -s.ReservationLeadTime(&entry.Reservation.Spec))
	})
}

// ReservationOf returns the reservation with a name, or one that matches no job if there is
// none.
func (s *State) ReservationOf(name reservation.Name) *record.Reservation {
	if entry := s.Reservations.Calendar.Reservation(name); entry != nil {
		return entry.Reservation
	}
	return noReservation
}

// ReservedEnd returns when a task is assumed to have ended: at its expected end, but no
// later than the end of the holds of its own reservation. Windows do not shorten these
// holds.
func ReservedEnd(holds []reservation.Hold, task *reservation.Task) reservation.Moment {
	if until := reservation.ReservedUntil(holds, task.IsOf); until != 0 {
		return min(task.Ends, until)
	}
	return task.Ends
}

// ReservedAmount returns the amount of a machine's resources that its holds reserve now, that
// is, those whose period from Clear to Until contains the given time.
func ReservedAmount(holds []reservation.Hold, now reservation.Moment) (sum resource.Amount) {
	for _, hold := range holds {
		if now >= hold.Clear && now < hold.Until {
			sum = sum.Plus(hold.Need)
		}
	}
	return sum
}
