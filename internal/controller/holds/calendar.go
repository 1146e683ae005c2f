package holds

import (
	"fmt"
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// calendarLookahead is how far ahead of now windows and reservations are considered when a
// task is placed. It is longer than tasks are likely to run.
const calendarLookahead = 24 * time.Hour

// AdoptCalendarRecord adopts a new version of a record of the calendar that was read from the
// key-value store: the calendar's own record, a reservation or a window, as the key states.
// It returns an error if the record can't be decoded or its schedule can't be parsed.
func (h *Holds) AdoptCalendarRecord(f record.FollowedKey, value protocol.RawValue, version protocol.Version) (err error) {
	switch {
	case f.Calendar:
		err = h.adoptCalendar(value, version)
	case f.Reservation != "":
		err = h.adoptReservation(value, version)
	case f.Window != "":
		err = h.adoptWindow(value, version)
	}
	h.updateHasEntries()
	return err
}

// adoptCalendar adopts the calendar's own record, which counts the changes of all other
// records of the calendar. Its version is adopted even if the record can't be decoded.
func (h *Holds) adoptCalendar(value protocol.RawValue, version protocol.Version) error {
	var r record.Calendar
	err := protocol.Decode(value, &r)
	h.Version, h.Changes = version, r.Changes
	if err != nil {
		return fmt.Errorf("decoding the calendar: %w", err)
	}
	return nil
}

// adoptReservation adopts the record of a reservation, and drops its holds unless it is
// accepted or holding.
func (h *Holds) adoptReservation(value protocol.RawValue, version protocol.Version) error {
	var r record.Reservation
	if err := protocol.Decode(value, &r); err != nil {
		return fmt.Errorf("decoding a reservation: %w", err)
	}
	err := h.Calendar.PutReservation(r, version, h.WallTime())
	if r.State != record.Accepted && r.State != record.Holding {
		h.dropHolds(r.Spec.Name)
	}
	if err != nil {
		return fmt.Errorf("adopting a record of the calendar: %w", err)
	}
	return nil
}

func (h *Holds) adoptWindow(value protocol.RawValue, version protocol.Version) error {
	var w record.Window
	if err := protocol.Decode(value, &w); err != nil {
		return fmt.Errorf("decoding a window: %w", err)
	}
	if err := h.Calendar.PutWindow(w, version, h.WallTime()); err != nil {
		return fmt.Errorf("adopting a record of the calendar: %w", err)
	}
	return nil
}

// AdoptCalendarDeletion removes the reservation or window whose record was deleted from the
// calendar, and the holds of the reservation.
func (h *Holds) AdoptCalendarDeletion(f record.FollowedKey) {
	if f.Reservation != "" {
		h.Calendar.DropEntry(false, f.Reservation)
		h.dropHolds(f.Reservation)
	} else {
		h.Calendar.DropEntry(true, f.Window)
	}
	h.updateHasEntries()
}

// updateHasEntries records whether the calendar has any entries, and has machine states published
// again if that changed: controllers publish which attempts run on their machines only while
// it has entries.
func (h *Holds) updateHasEntries() {
	hasEntries := !h.Calendar.Empty()
	if hasEntries == h.HasEntries {
		return
	}
	h.HasEntries = hasEntries
	h.republish()
}

// Refresh computes the open windows, the live jobs by class, the claims on teams' limits and
// the amount of each machine's resources that is held now. It does nothing if there are neither
// calendar entries nor holds. It is called once per replication interval.
func (h *Holds) Refresh() {
	if !h.HasEntries && len(h.List) == 0 {
		return
	}
	now, clockError := h.WallTime(), h.Settings.Site.ClockError()
	from, until := reservation.After(now, -2*clockError), reservation.After(now, calendarLookahead)
	h.Calendar.ExtendIndex(now)
	occurrences := h.Calendar.Overlapping(from, until)
	h.collectLiveJobs(occurrences)
	h.Windows = h.openWindows(occurrences, clockError)
	h.teamClaims = map[protocol.Team][]teamClaim{}
	for _, e := range h.Calendar.DueReservations(from, until) {
		h.addTeamClaim(e)
	}
	h.computeReserved()
}

// openWindows returns the windows among the occurrences, which are open or will open within
// calendarLookahead, extended on both sides by the amount that clocks may be off.
func (h *Holds) openWindows(occurrences []reservation.Occurrence, clockError time.Duration) (windows []clusterstate.OpenWindow) {
	for _, o := range occurrences {
		if !o.Window {
			continue
		}
		windows = append(windows, clusterstate.OpenWindow{
			Spec:  &h.Calendar.Window(o.Name).Window.Spec,
			Start: reservation.After(o.Start, -clockError),
			End:   reservation.After(o.End, clockError),
		})
	}
	return windows
}
