package operatorrequest

import (
	"slices"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/record"
)

// Bounds of one answer, which may be no larger than a request.
const (
	maxListed   = 40 // reservations or windows
	maxOverruns = 50 // machines of a window
)

// entry returns the reservation or window that a request names; nil if there is none.
func (h *Handler) entry(r *operatorapi.Request) *reservation.Entry {
	if r.Window {
		return h.reservations.Calendar.Window(r.Name)
	}
	return h.reservations.Calendar.Reservation(r.Name)
}

// showEntry shows one reservation or window with all that is known of it.
func (h *Handler) showEntry(r *operatorapi.Request) Decision {
	reply := operatorapi.Reply{Code: operatorapi.Done}
	switch e := h.entry(r); {
	case e == nil:
		return refuse(operatorapi.NotFound, "nothing of this name")
	case r.Window:
		reply.Windows = []operatorapi.Window{h.windowView(e)}
	default:
		reply.Reservations = []operatorapi.Reservation{h.reservationView(e)}
	}
	return Decision{Reply: reply}
}

// listCalendar lists the reservations or windows after the one that the request names,
// without their machines.
func (h *Handler) listCalendar(r *operatorapi.Request) Decision {
	reply := operatorapi.Reply{Code: operatorapi.Done}
	entries := h.reservations.Calendar.Reservations()
	if r.Window {
		entries = h.reservations.Calendar.Windows()
	}
	for _, e := range entries {
		if e.Name() <= r.Name {
			continue // listed before
		}
		if len(reply.Reservations)+len(reply.Windows) >= maxListed {
			reply.More = true
			break
		}
		if r.Window {
			v := h.windowView(e)
			v.Overruns = nil
			reply.Windows = append(reply.Windows, v)
		} else {
			v := h.reservationView(e)
			v.On, v.Past = nil, nil
			reply.Reservations = append(reply.Reservations, v)
		}
	}
	return Decision{Reply: reply}
}

// reservationView is a reservation as operators see it: its record with the present holds,
// risk and progress.
func (h *Handler) reservationView(e *reservation.Entry) operatorapi.Reservation {
	v := operatorapi.Reservation{Reservation: *e.Reservation}
	for _, hold := range h.reservations.List {
		if hold.For == e.Name() {
			v.Held += hold.Tasks
			v.On = append(v.On, hold.Machine)
		}
	}
	if risk, ok := h.planner.Risk(e.Name()); ok {
		v.Risk = risk // newer than its record
	}
	_, _, v.Started = h.reservations.OccurrenceProgress(e)
	return v
}

// windowView is a window as operators see it: its record with its present or next
// occurrence.
func (h *Handler) windowView(e *reservation.Entry) operatorapi.Window {
	now := h.WallTime()
	v := operatorapi.Window{Window: *e.Window}
	if e.Cancelled {
		return v
	}
	length := config.Seconds(e.Window.Spec.LengthS)
	if times := e.Schedule.Occurrences(reservation.After(now, -length), reservation.After(now, reservation.Horizon)); len(times) > 0 {
		v.NextMS, v.Open = times[0], times[0] <= now
		v.Overruns = h.overruns(&e.Window.Spec, v.NextMS)
	}
	return v
}

// overruns lists the machines whose attempts are expected to run on after a window has
// opened, the longest first.
func (h *Handler) overruns(spec *record.WindowSpec, opens reservation.Moment) []operatorapi.Overrun {
	var overruns []operatorapi.Overrun
	for _, m := range h.table.InOrder() {
		if !reservation.WindowCovers(spec, m.ID, m.Record.Type, m.Record.Zone) {
			continue
		}
		lastEnd := reservation.Moment(0)
		for _, run := range m.State.Runs {
			lastEnd = max(lastEnd, run.Ends)
		}
		if lastEnd > opens {
			overruns = append(overruns, operatorapi.Overrun{Machine: m.ID, ByS: reservation.Between(opens, lastEnd).Seconds()})
		}
	}
	slices.SortStableFunc(overruns, func(x, y operatorapi.Overrun) int { return int(y.ByS - x.ByS) })
	return overruns[:min(len(overruns), maxOverruns)]
}
