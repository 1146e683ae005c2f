package holds

import (
	"slices"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// Holds is the state of reservations and windows that a controller uses to place tasks: the
// calendar, the list of holds and the open windows, shared through clusterstate, and the team
// claims and progress of reservations.
type Holds struct {
	clusterstate.Module
	*clusterstate.Reservations
	table *waittable.Table
	// progress returns the latest progress of a live job that this controller has received.
	progress func(protocol.JobID) (message.Progress, bool)
	// republish causes the states of all machines to be published again.
	republish func()

	// ListNumber identifies the list of holds: the term of the controller that chose it in
	// the upper half, a count in the lower.
	ListNumber uint64

	recordWrittenAt clock.Time       // when the last write of the record was issued
	recordStale     bool             // the record does not have the present list
	recordVersion   protocol.Version // latest version of the record that was adopted

	teamClaims map[protocol.Team][]teamClaim // as of the last replication interval
	// liveByClass contains the live jobs of the classes with an occurrence within
	// calendarLookahead, as of the last replication interval.
	liveByClass map[string][]*clusterstate.LiveJob
	endedTasks  map[reservation.Name]*endedTasks // of the jobs that have ended in this session
}

// New returns a Holds on which Reset has to be called before use. The function progress
// returns the latest progress of a live job that this controller has received, and whether
// there is any; republish causes the states of all machines to be published again.
func New(module clusterstate.Module, table *waittable.Table, progress func(protocol.JobID) (message.Progress, bool), republish func()) *Holds {
	return &Holds{Module: module, table: table, progress: progress, republish: republish}
}

// Reset drops the state of the previous session.
func (h *Holds) Reset() {
	*h = Holds{
		Module: h.Module, Reservations: h.State.Reservations, table: h.table, progress: h.progress, republish: h.republish,
		endedTasks: map[reservation.Name]*endedTasks{},
	}
}

// Active reports whether there are any holds, or any windows that are open or will open within
// calendarLookahead.
func (h *Holds) Active() bool { return len(h.Windows) > 0 || len(h.List) > 0 }

// AdoptChosenList adopts the list that this controller has chosen while it runs the autoscaler.
// A list that differs from the present one, or is the first one of a term, gets a new number.
func (h *Holds) AdoptChosenList(chosen []reservation.Hold) {
	term := uint64(h.View.Term)
	if slices.Equal(chosen, h.List) && h.ListNumber>>32 == term {
		return
	}
	h.ReplaceList(chosen)
	h.recordStale = true
	h.ListNumber = max(h.ListNumber+1, term<<32|1)
}

// ReplaceList replaces the list of holds, recomputes which resources are held now and requests
// that the tasks that wait for a machine are tried again.
func (h *Holds) ReplaceList(list []reservation.Hold) {
	h.List = list
	h.Holds = map[protocol.MachineID][]reservation.Hold{}
	for _, hold := range list {
		h.Holds[hold.Machine] = append(h.Holds[hold.Machine], hold)
	}
	h.computeReserved()
	h.table.PlacementDue = true
}

// dropHolds drops the holds of a reservation that has ended, was cancelled or was deleted,
// without waiting for the next list.
func (h *Holds) dropHolds(name reservation.Name) {
	isFor := func(hold reservation.Hold) bool { return hold.For == name }
	if slices.ContainsFunc(h.List, isFor) {
		h.ReplaceList(slices.DeleteFunc(slices.Clone(h.List), isFor))
	}
}

// computeReserved sets for each machine of the wait table which amount of its resources its
// holds reserve now.
func (h *Holds) computeReserved() {
	now := h.WallTime()
	for _, m := range h.table.Machines {
		m.Reserved = clusterstate.ReservedAmount(h.Holds[m.ID], now)
	}
}

// IsReserved reports whether resources are held on any machine for a reservation that matches
// a job.
func (h *Holds) IsReserved(j *protocol.Job) bool {
	isFor := h.ReservationFilter(j)
	return slices.ContainsFunc(h.List, func(hold reservation.Hold) bool { return isFor(hold.For) })
}

// HeldFor reports whether resources are held on a given machine for a reservation that matches
// a job.
func (h *Holds) HeldFor(j *protocol.Job, m *waittable.Machine) bool {
	return reservation.ReservedUntil(h.Holds[m.ID], h.ReservationFilter(j)) != 0
}
