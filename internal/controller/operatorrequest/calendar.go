package operatorrequest

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// facts is what decisions on the calendar need to know of the site.
func (h *Handler) facts() *reservation.SiteFacts {
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

// addReservation decides whether a reservation can be kept, and puts it into the calendar.
// A request that was accepted before gets the same answer.
func (h *Handler) addReservation(by string, r *operatorapi.Request) Decision {
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
	a := calendar.DecideReservation(&spec, h.facts(), h.WallTime())
	d := answered(a)
	if !a.OK {
		return d
	}
	rec := record.Reservation{
		Spec: spec, Request: r.ID, By: by, MadeMS: h.WallTime(), Order: h.reservations.Changes + 1, State: record.Accepted, StartMS: a.FirstTimes[0],
	}
	if r.DryRun {
		rec.State = record.Proposed
	} else {
		d.Transaction = h.changeCalendar(record.ReservationKey(spec.Name), versionOf(existing), rec)
	}
	d.Reply.Reservations = []operatorapi.Reservation{{Reservation: rec}}
	return d
}

// hasEnded reports whether a reservation keeps nothing any more.
func hasEnded(e *reservation.Entry) bool {
	return e.State == record.Cancelled || e.State == record.Used || e.State == record.Expired
}

// addWindow decides whether a maintenance window leaves all reservations possible, and
// puts it into the calendar. A request that was accepted before gets the same answer.
func (h *Handler) addWindow(by string, r *operatorapi.Request) Decision {
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
	a := calendar.DecideWindow(&spec, h.facts(), h.WallTime())
	d := answered(a)
	if !a.OK {
		return d
	}
	rec := record.Window{Spec: spec, Request: r.ID, By: by, MadeMS: h.WallTime()}
	if !r.DryRun {
		d.Transaction = h.changeCalendar(record.WindowKey(spec.Name), versionOf(existing), rec)
	}
	d.Reply.Windows = []operatorapi.Window{{Window: rec, NextMS: a.FirstTimes[0], Overruns: h.overruns(&spec, a.FirstTimes[0])}}
	return d
}

// answered is the decision for an answer of the calendar.
func answered(a reservation.Answer) Decision {
	code := operatorapi.Done
	if !a.OK {
		code = operatorapi.Refused
	}
	return Decision{Reply: operatorapi.Reply{Code: code, Reason: a.Reason, Conflicts: a.Conflicts, Overlapping: a.Overlapping, FirstMS: a.FirstTimes}}
}

// versionOf is the version of an entry's record; 0 if there is none.
func versionOf(e *reservation.Entry) protocol.Version {
	if e == nil {
		return 0
	}
	return e.Version
}

// changeCalendar puts a record of the calendar, on the condition that neither it nor any
// other record of the calendar has changed since this was decided.
func (h *Handler) changeCalendar(key string, version protocol.Version, value any) *protocol.Transaction {
	return &protocol.Transaction{
		Conditions: []protocol.Condition{{Key: record.CalendarKey, Version: h.reservations.Version}, {Key: key, Version: version}},
		Changes: []protocol.Change{
			{Put: key, Value: value},
			{Put: record.CalendarKey, Value: record.Calendar{Changes: h.reservations.Changes + 1}},
		},
	}
}

// cancelEntry cancels a reservation or a window.
func (h *Handler) cancelEntry(r *operatorapi.Request) Decision {
	done := operatorapi.Reply{Code: operatorapi.Done, Reason: "cancelled"}
	e, what := h.entry(r), "reservation"
	if r.Window {
		what = "window"
	}
	switch {
	case e == nil:
		return refuse(operatorapi.NotFound, "no "+what+" of this name")
	case r.CreatedAt != 0 && e.CreatedAt() != r.CreatedAt:
		return refuse(operatorapi.Refused, "it was made anew since")
	case !e.NotCancelled():
		return Decision{Reply: done}
	case r.Window:
		rec := *e.Window
		rec.Cancelled = true
		return Decision{Reply: done, Transaction: h.changeCalendar(record.WindowKey(r.Name), e.Version, rec)}
	}
	rec := *e.Reservation
	rec.State, rec.Risk, rec.RiskMS = record.Cancelled, "", 0
	return Decision{Reply: done, Transaction: h.changeCalendar(record.ReservationKey(r.Name), e.Version, rec)}
}
