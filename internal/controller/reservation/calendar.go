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
	// accepted entries up to then.
	Horizon = 366 * day
	// retainPast is how long occurrences stay in the index after they have ended.
	retainPast = 25 * time.Hour
	// initialIndexSpan is how far ahead the occurrences of a new entry are indexed at
	// once. ExtendIndex indexes the others later, for a few entries at a time.
	initialIndexSpan = 15 * day
	// indexMargin is how far beyond Horizon occurrences are indexed, and at the same time
	// the interval at which ExtendIndex looks for entries to be indexed further.
	indexMargin = day
	// singleIndexSpan is how far ahead an entry that does not recur is indexed.
	singleIndexSpan = 100 * Horizon
	// maxEntriesPerExtension bounds the entries that one call of ExtendIndex indexes further.
	maxEntriesPerExtension = 20
)

// Calendar holds all reservations and windows, with an index of their occurrences by time.
// Cancelled entries are kept, but their occurrences are not indexed.
type Calendar struct {
	reservations      map[Name]*Entry
	windows           map[Name]*Entry
	index             *occurrenceIndex
	pendingExtension  []*Entry // entries whose occurrences have to be indexed further
	lastExtensionScan Moment   // when ExtendIndex last looked for such entries
}

// NewCalendar returns an empty calendar.
func NewCalendar() *Calendar {
	return &Calendar{reservations: map[Name]*Entry{}, windows: map[Name]*Entry{}, index: newOccurrenceIndex()}
}

// entries returns the windows if window is set, and the reservations otherwise.
func (c *Calendar) entries(window bool) map[Name]*Entry {
	if window {
		return c.windows
	}
	return c.reservations
}

// PutReservation adds the reservation of a record, of the given version. It replaces an earlier
// record of the same name. It returns an error, and changes nothing, if the reservation's
// schedule can't be parsed.
func (c *Calendar) PutReservation(r record.Reservation, v protocol.Version, now Moment) error {
	schedule, err := ParseSchedule(r.Spec.When)
	if err != nil {
		return fmt.Errorf("reservation %s: %w", r.Spec.Name, err)
	}
	e := &Entry{Reservation: &r, Version: v, Schedule: schedule, duration: MaxOccurrenceDuration(&r.Spec)}
	if old := c.reservations[r.Spec.Name]; old != nil && old.Order == r.Order && e.NotCancelled() {
		// The same reservation in another state: its indexed occurrences stay valid.
		old.Reservation, old.Version = e.Reservation, v
		return nil
	}
	c.putEntry(e, now)
	return nil
}

// PutWindow adds the window of a record, of the given version. It replaces an earlier record
// of the same name. It returns an error, and changes nothing, if the window's schedule can't be
// parsed.
func (c *Calendar) PutWindow(w record.Window, v protocol.Version, now Moment) error {
	schedule, err := ParseSchedule(w.Spec.When)
	if err != nil {
		return fmt.Errorf("window %s: %w", w.Spec.Name, err)
	}
	c.putEntry(&Entry{Window: &w, Version: v, Schedule: schedule, duration: config.Seconds(w.Spec.LengthS)}, now)
	return nil
}

// putEntry adds an entry in place of an earlier one of its name, and indexes its occurrences
// unless it is cancelled: up to initialIndexSpan from now if it recurs, with the others left to
// ExtendIndex, else up to singleIndexSpan.
func (c *Calendar) putEntry(e *Entry, now Moment) {
	window := e.Window != nil
	c.DropEntry(window, e.Name())
	c.entries(window)[e.Name()] = e
	if !e.NotCancelled() {
		return
	}
	e.indexedUntil = After(now, -retainPast)
	c.indexOccurrences(e, After(now, initialIndexSpan))
	if e.Schedule.Recurs() {
		e.indexIncomplete = true
		c.pendingExtension = append(c.pendingExtension, e)
	} else {
		c.indexOccurrences(e, After(now, singleIndexSpan))
	}
}

// indexOccurrences adds the occurrences of an entry that begin before a moment and are not
// indexed yet. It stops when the index is full.
func (c *Calendar) indexOccurrences(e *Entry, to Moment) {
	for _, start := range e.Schedule.Occurrences(e.indexedUntil, to) {
		if c.index.full() {
			break
		}
		key := c.index.add(Occurrence{Name: e.Name(), Window: e.Window != nil, Start: start, End: After(start, e.duration)})
		e.indexKeys = append(e.indexKeys, key)
	}
	e.indexedUntil = max(e.indexedUntil, to)
}

// DropEntry removes the window (if window is set) or reservation of a name and its indexed
// occurrences. It does nothing if there is none.
func (c *Calendar) DropEntry(window bool, n Name) {
	dropped := c.entries(window)[n]
	if dropped == nil {
		return
	}
	delete(c.entries(window), n)
	for _, key := range dropped.indexKeys {
		c.index.remove(key)
	}
	dropped.indexKeys = nil
	c.pendingExtension = slices.DeleteFunc(c.pendingExtension, func(e *Entry) bool { return e == dropped })
}

// ExtendIndex indexes further occurrences, up to indexMargin beyond Horizon, for at most
// maxEntriesPerExtension entries per call. Once per indexMargin it looks for entries to be
// indexed further, and drops the occurrences that ended more than retainPast ago. It has to be
// called regularly.
func (c *Calendar) ExtendIndex(now Moment) {
	for range min(maxEntriesPerExtension, len(c.pendingExtension)) {
		e := c.pendingExtension[0]
		c.pendingExtension = c.pendingExtension[1:]
		c.indexOccurrences(e, After(now, Horizon+indexMargin))
		e.indexIncomplete = false
	}
	if Between(c.lastExtensionScan, now) < indexMargin || len(c.pendingExtension) > 0 {
		return
	}
	c.lastExtensionScan = now
	for _, entries := range []map[Name]*Entry{c.reservations, c.windows} {
		for _, e := range entries {
			c.dropPastOccurrences(e, now)
			if e.Schedule.Recurs() && e.NotCancelled() && e.indexedUntil < After(now, Horizon) {
				c.pendingExtension = append(c.pendingExtension, e)
			}
		}
	}
	slices.SortFunc(c.pendingExtension, compareNames)
}

// dropPastOccurrences removes the occurrences of an entry that ended more than retainPast
// ago from the index.
func (c *Calendar) dropPastOccurrences(e *Entry, now Moment) {
	oldest := firstKeyAt(After(now, -retainPast-e.duration))
	for len(e.indexKeys) > 0 && e.indexKeys[0] < oldest {
		c.index.remove(e.indexKeys[0])
		e.indexKeys = e.indexKeys[1:]
	}
}

// IndexComplete reports whether the occurrences of each entry have been indexed up to Horizon
// since it was added, and the index has space for more. Otherwise no further entry can be
// accepted.
func (c *Calendar) IndexComplete() bool {
	return !c.index.full() && !slices.ContainsFunc(c.pendingExtension, func(e *Entry) bool { return e.indexIncomplete })
}

// Overlapping returns the indexed occurrences that overlap the period from one moment until
// before another, ordered by start. An empty period counts as one millisecond.
func (c *Calendar) Overlapping(from, to Moment) []Occurrence {
	return c.index.overlapping(from, max(to, from+1))
}

// DueReservations returns the reservations whose current occurrence overlaps a period, ordered by
// start.
func (c *Calendar) DueReservations(from, to Moment) []*Entry {
	var due []*Entry
	for _, o := range c.Overlapping(from, to) {
		if e := c.Reservation(o.Name); !o.Window && e != nil && e.StartMS == o.Start {
			due = append(due, e)
		}
	}
	return due
}

// Reservation returns the reservation of a name, or nil if there is none.
func (c *Calendar) Reservation(n Name) *Entry { return c.reservations[n] }

// Window returns the window of a name, or nil if there is none.
func (c *Calendar) Window(n Name) *Entry { return c.windows[n] }

// Reservations returns all reservations, sorted by name.
func (c *Calendar) Reservations() []*Entry { return sortedByName(c.reservations) }

// Windows returns all windows, sorted by name.
func (c *Calendar) Windows() []*Entry { return sortedByName(c.windows) }

func sortedByName(entries map[Name]*Entry) []*Entry {
	return slices.SortedFunc(maps.Values(entries), compareNames)
}

// Empty reports whether the calendar has no entry.
func (c *Calendar) Empty() bool { return len(c.reservations) == 0 && len(c.windows) == 0 }
