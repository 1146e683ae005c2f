package operatorrequest

import (
	"slices"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/record"
)

// Maximum numbers of items in one reply, which may not be larger than a request.
const (
	maxCalendarEntries = 40 // reservations or windows
	maxOverruns        = 50 // machines that overrun a window
)

// entry returns the reservation or window that a request names; nil if there is none.
func (h *Handler) entry(r *operatorapi.Request) *reservation.Entry {
	if r.Window {
		return h.reservations.Calendar.Window(r.Name)
	}
	return h.reservations.Calendar.Reservation(r.Name)
}

// showEntry returns the reservation or window that a request names, with its machines and past
// occurrences.
func (h *Handler) showEntry(r *operatorapi.Request) Decision {
	reply := operatorapi.Reply{Code: operatorapi.Done}
	switch entry := h.entry(r); {
	case entry == nil:
		return refuse(operatorapi.NotFound, "nothing of this name")
	case r.Window:
		reply.Windows = []operatorapi.Window{h.windowView(entry)}
	default:
		reply.Reservations = []operatorapi.Reservation{h.reservationView(entry)}
	}
	return Decision{Reply: reply}
}

// listCalendar returns a page of at most maxCalendarEntries reservations or windows, sorted by
// name, whose names follow the name in the request. They lack the lists of machines and of past
// occurrences.
func (h *Handler) listCalendar(r *operatorapi.Request) Decision {
	reply := operatorapi.Reply{Code: operatorapi.Done}
	entries := h.reservations.Calendar.Reservations()
	if r.Window {
		entries = h.reservations.Calendar.Windows()
	}
	for _, entry := range entries {
		if entry.Name() <= r.Name {
			continue // on an earlier page
		}
		if len(reply.Reservations)+len(reply.Windows) >= maxCalendarEntries {
			reply.More = true
			break
		}
		if r.Window {
			view := h.windowView(entry)
			view.Overruns = nil
			reply.Windows = append(reply.Windows, view)
		} else {
			view := h.reservationView(entry)
			view.On, view.Past = nil, nil
			reply.Reservations = append(reply.Reservations, view)
		}
	}
	return Decision{Reply: reply}
}

// reservationView returns a reservation as shown to operators: its record with the machines
// and the number of tasks of its current holds, the reason why it may not be kept, and how many
// of its tasks have started.
func (h *Handler) reservationView(entry *reservation.Entry) operatorapi.Reservation {
	view := operatorapi.Reservation{Reservation: *entry.Reservation}
	for _, hold := range h.reservations.List {
		if hold.For == entry.Name() {
			view.Held += hold.Tasks
			view.On = append(view.On, hold.Machine)
		}
	}
	if risk, ok := h.planner.Risk(entry.Name()); ok {
		view.Risk = risk // newer than its record
	}
	_, _, view.Started = h.reservations.OccurrenceProgress(entry)
	return view
}

// windowView returns a window as shown to operators: its record with the start of its current
// or next occurrence, whether that is open now, and the machines that overrun it. A cancelled
// window has just its record.
func (h *Handler) windowView(entry *reservation.Entry) operatorapi.Window {
	now := h.WallTime()
	view := operatorapi.Window{Window: *entry.Window}
	if entry.Cancelled {
		return view
	}
	length := config.Seconds(entry.Window.Spec.LengthS)
	if times := entry.Schedule.Occurrences(reservation.After(now, -length), reservation.After(now, reservation.Horizon)); len(times) > 0 {
		view.NextMS, view.Open = times[0], times[0] <= now
		view.Overruns = h.overruns(&entry.Window.Spec, view.NextMS)
	}
	return view
}

// overruns lists at most maxOverruns machines that a window covers and that have attempts
// which are expected to end only after the window opens, the longest overrun first.
func (h *Handler) overruns(spec *record.WindowSpec, opening reservation.Moment) []operatorapi.Overrun {
	var overruns []operatorapi.Overrun
	for _, m := range h.table.InOrder() {
		if !reservation.WindowCovers(spec, m.ID, m.Record.Type, m.Record.Zone) {
			continue
		}
		lastEnd := reservation.Moment(0)
		for _, run := range m.State.Runs {
			lastEnd = max(lastEnd, run.Ends)
		}
		if lastEnd > opening {
			overruns = append(overruns, operatorapi.Overrun{Machine: m.ID, ByS: reservation.Between(opening, lastEnd).Seconds()})
		}
	}
	slices.SortStableFunc(overruns, func(x, y operatorapi.Overrun) int { return int(y.ByS - x.ByS) })
	return overruns[:min(len(overruns), maxOverruns)]
}
