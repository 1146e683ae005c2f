package operatorrequest

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// calendarFacts returns the inputs of decisions on reservations and windows other than the
// calendar: the catalogue of machine types, the numbers of machines that operators count on,
// the teams in force and the registered machines.
func (h *Handler) calendarFacts() *reservation.SiteFacts {
	return &reservation.SiteFacts{
		Types: h.Types, MaxMachines: h.Operator.Machines,
		Team: func(name protocol.Team) (config.Team, bool) {
			t, ok := h.Team(name)
			return t.Team, ok
		},
		Machine: func(id protocol.MachineID) (protocol.MachineType, protocol.Zone, bool) {
			m := h.table.Machines[id]
			if m == nil {
				return "", "", false
			}
			return m.Record.Type, m.Record.Zone, true
		},
	}
}

// addReservation decides whether a reservation can be guaranteed, and if so, returns a
// transaction that adds it to the calendar; none for a dry run. A repeated request that was
// accepted before is accepted again, without a further change. A reservation of the same name
// is replaced only if it has ended or the request says so.
func (h *Handler) addReservation(operator string, r *operatorapi.Request) Decision {
	calendar, spec := h.reservations.Calendar, *r.Reservation
	if err := reservation.CheckReservation(&spec); err != nil {
		return refuse(operatorapi.Refused, err.Error())
	}
	existing := calendar.Reservation(spec.Name)
	if existing != nil && r.ID != "" && existing.Reservation.Request == r.ID {
		return Decision{Reply: operatorapi.Reply{Code: operatorapi.Done, Reason: "was accepted already", Reservations: []operatorapi.Reservation{h.reservationView(existing)}}}
	}
	if existing != nil && !r.Replace && !hasEnded(existing) {
		return refuse(operatorapi.Refused, "there is a reservation of this name")
	}
	if !calendar.IndexComplete() {
		return refuse(operatorapi.RetryLater, "the calendar is still being read, or is full")
	}
	answer := calendar.DecideReservation(&spec, h.calendarFacts(), h.WallTime())
	decision := calendarDecision(answer)
	if !answer.OK {
		return decision
	}
	rec := record.Reservation{
		Spec: spec, Request: r.ID, By: operator, MadeMS: h.WallTime(), Order: h.reservations.Changes + 1, State: record.Accepted, StartMS: answer.FirstTimes[0],
	}
	if r.DryRun {
		rec.State = record.Proposed
	} else {
		decision.Transaction = h.changeCalendar(record.ReservationKey(spec.Name), versionOf(existing), rec)
	}
	decision.Reply.Reservations = []operatorapi.Reservation{{Reservation: rec}}
	return decision
}

// hasEnded reports whether the current occurrence of a reservation is over, so that it holds
// no resources: it is cancelled, used or expired.
func hasEnded(e *reservation.Entry) bool {
	return e.State == record.Cancelled || e.State == record.Used || e.State == record.Expired
}

// addWindow decides whether all reservations can still be guaranteed with a maintenance
// window, and if so, returns a transaction that adds it to the calendar; none for a dry run. A
// repeated request that was accepted before is accepted again, without a further change. A
// window of the same name is replaced only if it is cancelled or the request says so.
func (h *Handler) addWindow(operator string, r *operatorapi.Request) Decision {
	calendar, spec := h.reservations.Calendar, *r.Spec
	if err := reservation.CheckWindow(&spec); err != nil {
		return refuse(operatorapi.Refused, err.Error())
	}
	existing := calendar.Window(spec.Name)
	if existing != nil && r.ID != "" && existing.Window.Request == r.ID {
		return Decision{Reply: operatorapi.Reply{Code: operatorapi.Done, Reason: "was accepted already", Windows: []operatorapi.Window{h.windowView(existing)}}}
	}
	if existing != nil && !r.Replace && !existing.Cancelled {
		return refuse(operatorapi.Refused, "there is a window of this name")
	}
	if !calendar.IndexComplete() {
		return refuse(operatorapi.RetryLater, "the calendar is still being read, or is full")
	}
	answer := calendar.DecideWindow(&spec, h.calendarFacts(), h.WallTime())
	decision := calendarDecision(answer)
	if !answer.OK {
		return decision
	}
	rec := record.Window{Spec: spec, Request: r.ID, By: operator, MadeMS: h.WallTime()}
	if !r.DryRun {
		decision.Transaction = h.changeCalendar(record.WindowKey(spec.Name), versionOf(existing), rec)
	}
	decision.Reply.Windows = []operatorapi.Window{{Window: rec, NextMS: answer.FirstTimes[0], Overruns: h.overruns(&spec, answer.FirstTimes[0])}}
	return decision
}

// calendarDecision converts the calendar's answer to a requested entry to a decision with the
// same reply and no transaction.
func calendarDecision(answer reservation.Answer) Decision {
	code := operatorapi.Done
	if !answer.OK {
		code = operatorapi.Refused
	}
	return Decision{Reply: operatorapi.Reply{Code: code, Reason: answer.Reason, Conflicts: answer.Conflicts, Overlapping: answer.Overlapping, FirstMS: answer.FirstTimes}}
}

// versionOf returns the version of the record of an entry; 0 if the entry is nil.
func versionOf(e *reservation.Entry) protocol.Version {
	if e == nil {
		return 0
	}
	return e.Version
}

// changeCalendar returns the transaction that writes a record of the calendar under a key and
// counts the change in the calendar's own record, on the condition that neither this record,
// which had the given version, nor any other record of the calendar has changed since the
// decision.
func (h *Handler) changeCalendar(key string, version protocol.Version, value any) *protocol.Transaction {
	return &protocol.Transaction{
		Conditions: []protocol.Condition{{Key: record.CalendarKey, Version: h.reservations.Version}, {Key: key, Version: version}},
		Changes: []protocol.Change{
			{Put: key, Value: value},
			{Put: record.CalendarKey, Value: record.Calendar{Changes: h.reservations.Changes + 1}},
		},
	}
}

// cancelEntry decides on cancelling the reservation or window that a request names, and returns
// the transaction that marks its record as cancelled. An entry that is cancelled already is
// left as it is. If the request states when the entry was made, an entry of the same name that
// was made later is not cancelled.
func (h *Handler) cancelEntry(r *operatorapi.Request) Decision {
	done := operatorapi.Reply{Code: operatorapi.Done, Reason: "cancelled"}
	entry, kind := h.entry(r), "reservation"
	if r.Window {
		kind = "window"
	}
	switch {
	case entry == nil:
		return refuse(operatorapi.NotFound, "no "+kind+" of this name")
	case r.CreatedAt != 0 && entry.CreatedAt() != r.CreatedAt:
		return refuse(operatorapi.Refused, "it was made anew since")
	case !entry.NotCancelled():
		return Decision{Reply: done}
	case r.Window:
		rec := *entry.Window
		rec.Cancelled = true
		return Decision{Reply: done, Transaction: h.changeCalendar(record.WindowKey(r.Name), entry.Version, rec)}
	}
	rec := *entry.Reservation
	rec.State, rec.Risk, rec.RiskMS = record.Cancelled, "", 0
	return Decision{Reply: done, Transaction: h.changeCalendar(record.ReservationKey(r.Name), entry.Version, rec)}
}
