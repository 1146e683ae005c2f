package reservation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// Horizon is how far ahead the calendar reaches: a new entry is checked against all
	// that is accepted until then.
	Horizon = 366 * day
	// retainPast is for how long occurrences that are over are kept.
	retainPast = 25 * time.Hour
	// listAtOnce is how far ahead an entry's occurrences are listed when it comes; the
	// rest follows, a few entries at a time.
	listAtOnce = 15 * day
	// listMargin is how much further than Ahead occurrences are listed, and how often
	// that is done.
	listMargin = day
	// listSingle is how far ahead an entry is listed that does not recur.
	listSingle = 100 * Horizon
	// maxExtendedEntries bounds the entries whose occurrences are listed in one go.
	maxExtendedEntries = 20
)

// Calendar is all entries, with an index of their occurrences by time.
type Calendar struct {
	reservations map[Name]*Entry
	windows      map[Name]*Entry
	index        *occurrenceIndex
	toExtend     []*Entry // whose occurrences are to be listed further
	extendedAt   Moment   // when entries were last looked through for such
}

// NewCalendar makes an empty calendar.
func NewCalendar() *Calendar {
	return &Calendar{reservations: map[Name]*Entry{}, windows: map[Name]*Entry{}, index: newOccurrenceIndex()}
}

// entries are the windows, or the reservations.
func (c *Calendar) entries(window bool) map[Name]*Entry {
	if window {
		return c.windows
	}
	return c.reservations
}

// PutReservation takes over a record; it replaces an earlier one.
func (c *Calendar) PutReservation(r record.Reservation, v protocol.Version, now Moment) error {
	w, err := ParseSchedule(r.Spec.When)
	if err != nil {
		return fmt.Errorf("reservation %s: %w", r.Spec.Name, err)
	}
	e := &Entry{Reservation: &r, Version: v, Schedule: w, length: MaxDuration(&r.Spec)}
	if old := c.reservations[r.Spec.Name]; old != nil && old.Order == r.Order && e.Valid() {
		// The same reservation in another state: its occurrences stay.
		old.Reservation, old.Version = e.Reservation, v
		return nil
	}
	c.put(e, now)
	return nil
}

// PutWindow takes over a record; it replaces an earlier one.
func (c *Calendar) PutWindow(w record.Window, v protocol.Version, now Moment) error {
	when, err := ParseSchedule(w.Spec.When)
	if err != nil {
		return fmt.Errorf("window %s: %w", w.Spec.Name, err)
	}
	c.put(&Entry{Window: &w, Version: v, Schedule: when, length: config.Seconds(w.Spec.LengthS)}, now)
	return nil
}

func (c *Calendar) put(e *Entry, now Moment) {
	window := e.Window != nil
	c.Drop(window, e.Name())
	c.entries(window)[e.Name()] = e
	if !e.Valid() {
		return
	}
	e.listedTo = After(now, -retainPast)
	c.list(e, After(now, listAtOnce))
	if e.Schedule.Recurs() {
		e.incomplete = true
		c.toExtend = append(c.toExtend, e)
	} else {
		c.list(e, After(now, listSingle))
	}
}

// list adds an entry's occurrences until before a moment to the index.
func (c *Calendar) list(e *Entry, to Moment) {
	for _, start := range e.Schedule.Occurrences(e.listedTo, to) {
		if c.index.full() {
			break
		}
		key := c.index.add(Occurrence{Name: e.Name(), Window: e.Window != nil, Start: start, End: After(start, e.length)})
		e.keys = append(e.keys, key)
	}
	e.listedTo = max(e.listedTo, to)
}

// Drop removes an entry.
func (c *Calendar) Drop(window bool, n Name) {
	dropped := c.entries(window)[n]
	if dropped == nil {
		return
	}
	delete(c.entries(window), n)
	for _, key := range dropped.keys {
		c.index.remove(key)
	}
	dropped.keys = nil
	c.toExtend = slices.DeleteFunc(c.toExtend, func(e *Entry) bool { return e == dropped })
}

// Extend lists further occurrences, of a few entries at a time, and drops
// those long over. It is called regularly.
func (c *Calendar) Extend(now Moment) {
	for range min(maxExtendedEntries, len(c.toExtend)) {
		e := c.toExtend[0]
		c.toExtend = c.toExtend[1:]
		c.list(e, After(now, Horizon+listMargin))
		e.incomplete = false
	}
	if Between(c.extendedAt, now) < listMargin || len(c.toExtend) > 0 {
		return
	}
	c.extendedAt = now
	for _, entries := range []map[Name]*Entry{c.reservations, c.windows} {
		for _, e := range entries {
			c.dropPast(e, now)
			if e.Schedule.Recurs() && e.Valid() && e.listedTo < After(now, Horizon) {
				c.toExtend = append(c.toExtend, e)
			}
		}
	}
	slices.SortFunc(c.toExtend, compareNames)
}

// dropPast drops the occurrences of an entry that are long over.
func (c *Calendar) dropPast(e *Entry, now Moment) {
	oldest := treeTime(After(now, -retainPast-e.length))
	for len(e.keys) > 0 && e.keys[0] < oldest {
		c.index.remove(e.keys[0])
		e.keys = e.keys[1:]
	}
}

// Complete reports whether the occurrences of all entries are listed: until then
// nothing can be accepted beside them.
func (c *Calendar) Complete() bool {
	return !c.index.full() && !slices.ContainsFunc(c.toExtend, func(e *Entry) bool { return e.incomplete })
}

// Overlapping lists what overlaps a time, in the order of the beginnings.
func (c *Calendar) Overlapping(from, to Moment) []Occurrence {
	return c.index.overlapping(from, max(to, from+1))
}

// Due lists the reservations whose present occurrence overlaps a time, in the
// order of the beginnings.
func (c *Calendar) Due(from, to Moment) []*Entry {
	var due []*Entry
	for _, o := range c.Overlapping(from, to) {
		if e := c.Reservation(o.Name); !o.Window && e != nil && e.StartMS == o.Start {
			due = append(due, e)
		}
	}
	return due
}

// Reservation finds a reservation; nil if there is none.
func (c *Calendar) Reservation(n Name) *Entry { return c.reservations[n] }

// Window finds a window; nil if there is none.
func (c *Calendar) Window(n Name) *Entry { return c.windows[n] }

// Reservations lists all reservations by name.
func (c *Calendar) Reservations() []*Entry { return sortedByName(c.reservations) }

// Windows lists all windows by name.
func (c *Calendar) Windows() []*Entry { return sortedByName(c.windows) }

func sortedByName(entries map[Name]*Entry) []*Entry {
	return slices.SortedFunc(maps.Values(entries), compareNames)
}

// Empty reports whether the calendar has no entry.
func (c *Calendar) Empty() bool { return len(c.reservations) == 0 && len(c.windows) == 0 }
