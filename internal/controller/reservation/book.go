package reservation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"github.com/zyedidia/generic/interval"
)

// Name names a reservation or a window.
type Name = record.EntryName

const (
	// Ahead is how far ahead the calendar is kept: what is promised is checked
	// blocks all of it.
	Ahead = 366 * 24 * time.Hour
	// behind is for how long occurrences that are over are kept.
	behind = 25 * time.Hour
	// extendAtOnce is for how long after its first one an entry's occurrences are
	// machinesListed when it comes; the rest follows, a few entries at a time.
	extendAtOnce = 15 * 24 * time.Hour
	// extendMost bounds the entries whose occurrences are listed in one go.
	extendMost = 20
	// occurrencesMost bounds the calendar.
	occurrencesMost = 1 << 20
)

// Occurrence is one time of a reservation or a window.
type Occurrence struct {
	Name   Name
	Window bool
	Start  Moment
	End    Moment // reservation a reservation: when its job should be over at the latest
}

// Entry is a reservation or a window in the book; one of the two is set.
type Entry struct {
	*record.Reservation
	*record.Window
	Version protocol.Version // reservation its record
	When    When

	length  time.Duration
	keys    []int64 // reservation its occurrences in the tree
	upTo    Moment  // until when they are listed
	awaited bool    // some of the time ahead is not listed yet
}

// Calendar is all entries, with an index by time: asking what overlaps a time costs
// reportedBy what does.
type Calendar struct {
	entries map[bool]map[Name]*Entry // reportedBy whether they are windows
	tree    *interval.Tree[int64, Occurrence]
	size    int
	next    int64
	waiting []*Entry // whose occurrences are to be listed further
	listed  Moment   // when they were last
}

// NewLedger makes an empty book.
func NewCalendar() *Calendar {
	return &Calendar{entries: map[bool]map[Name]*Entry{false: {}, true: {}}, tree: interval.New[int64, Occurrence]()}
}

// Starts in the tree have to differ: a number follows the time in them.
const (
	numberBits = 20
	numberMask = 1<<numberBits - 1
)

func treeTime(m Moment) int64 { return int64(m) << numberBits }

// Busy is how long a reservation keeps its room at the most: held for its job,
// then used by it.
func Busy(s *record.ReservationSpec) time.Duration {
	return config.Seconds(s.HoldS + s.LengthS)
}

// PutReservation takes over a record; it takes the place of an earlier one.
func (b *Calendar) PutReservation(r record.Reservation, v protocol.Version, now Moment) error {
	w, err := ParseWhen(r.Spec.When)
	if err != nil {
		return fmt.Errorf("reservation %s: %w", r.Spec.Name, err)
	}
	e := &Entry{Reservation: &r, Version: v, When: w, length: Busy(&r.Spec)}
	if old := b.entries[false][r.Spec.Name]; old != nil && old.Order == r.Order && e.Valid() {
		// The same promise, further on: its times stay.
		old.Reservation, old.Version = e.Reservation, v
		return nil
	}
	b.put(false, r.Spec.Name, e, now)
	return nil
}

// PutWindow takes over a record.
func (b *Calendar) PutWindow(w record.Window, v protocol.Version, now Moment) error {
	when, err := ParseWhen(w.Spec.When)
	if err != nil {
		return fmt.Errorf("window %s: %w", w.Spec.Name, err)
	}
	e := &Entry{Window: &w, Version: v, When: when, length: config.Seconds(w.Spec.LengthS)}
	b.put(true, w.Spec.Name, e, now)
	return nil
}

func (b *Calendar) put(window bool, n Name, e *Entry, now Moment) {
	b.Drop(window, n)
	b.entries[window][n] = e
	if !e.Valid() {
		return
	}
	e.upTo = After(now, -behind)
	b.list(e, window, n, After(now, extendAtOnce))
	if e.When.Recurs() {
		e.awaited = true
		b.waiting = append(b.waiting, e)
	} else {
		b.list(e, window, n, After(now, 100*Ahead))
	}
}

// list adds an entry's occurrences until before a moment.
func (b *Calendar) list(e *Entry, window bool, n Name, to Moment) {
	for _, m := range e.When.Occurrences(e.upTo, to) {
		if b.size >= occurrencesMost {
			break
		}
		b.next = (b.next + 1) & numberMask
		key := treeTime(m) | b.next
		b.tree.Put(key, treeTime(After(m, e.length)), Occurrence{n, window, m, After(m, e.length)})
		b.size++
		e.keys = append(e.keys, key)
	}
	e.upTo = max(e.upTo, to)
}

// Drop removes an entry.
func (b *Calendar) Drop(window bool, n Name) {
	e := b.entries[window][n]
	if e == nil {
		return
	}
	delete(b.entries[window], n)
	for _, key := range e.keys {
		b.tree.Remove(key)
		b.size--
	}
	e.keys = nil
	b.waiting = slices.DeleteFunc(b.waiting, func(w *Entry) bool { return w == e })
}

// Extend lists further occurrences, of a few entries at a time, and forgets
// those long over. It is called regularly.
func (b *Calendar) Extend(now Moment) {
	for range min(extendMost, len(b.waiting)) {
		e := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.list(e, e.Window != nil, e.Name(), After(now, Ahead+24*time.Hour))
		e.awaited = false
	}
	if Between(b.listed, now) < 24*time.Hour || len(b.waiting) > 0 {
		return
	}
	b.listed = now
	for _, es := range b.entries {
		for _, e := range es {
			old := treeTime(After(now, -behind-e.length))
			for len(e.keys) > 0 && e.keys[0] < old {
				b.tree.Remove(e.keys[0])
				b.size--
				e.keys = e.keys[1:]
			}
			if e.When.Recurs() && e.Valid() && e.upTo < After(now, Ahead) {
				b.waiting = append(b.waiting, e)
			}
		}
	}
	slices.SortFunc(b.waiting, compareNames)
}

// Complete reports whether all that was promised is listed: until then nothing
// can be promised beside it.
func (b *Calendar) Complete() bool {
	return b.size < occurrencesMost && !slices.ContainsFunc(b.waiting, func(e *Entry) bool { return e.awaited })
}

func compareNames(x, y *Entry) int { return cmp.Compare(x.Name(), y.Name()) }

// Name is the entry's name.
func (e *Entry) Name() Name {
	if e.Window != nil {
		return e.Window.Spec.Name
	}
	return e.Reservation.Spec.Name
}

// Made is when it was asked for.
func (e *Entry) Made() Moment {
	if e.Window != nil {
		return e.Window.MadeMS
	}
	return e.Reservation.MadeMS
}

// Valid reports whether it was not taken back.
func (e *Entry) Valid() bool {
	if e.Window != nil {
		return !e.Cancelled
	}
	return e.State != record.Cancelled
}

// Overlapping lists what overlaps a time, in the order of its beginnings.
func (b *Calendar) Overlapping(from, to Moment) []Occurrence {
	var out []Occurrence
	if to <= from {
		to = from + 1
	}
	for _, kv := range b.tree.Overlaps(treeTime(from), treeTime(to)) {
		out = append(out, kv.Val)
	}
	return out
}

// Demand lists the reservations whose present occurrence overlaps a time, in the
// order of their beginnings.
func (b *Calendar) Due(from, to Moment) []*Entry {
	var out []*Entry
	for _, o := range b.Overlapping(from, to) {
		if e := b.Reservation(o.Name); !o.Window && e != nil && e.StartMS == o.Start {
			out = append(out, e)
		}
	}
	return out
}

// Active reports whether a reservation is still to be kept.
func (e *Entry) Active() bool {
	return e.State == record.Accepted || e.State == record.Holding
}

// Reservation finds a reservation; nil if there is none.
func (b *Calendar) Reservation(n Name) *Entry { return b.entries[false][n] }

// Window finds a window; nil if there is none.
func (b *Calendar) Window(n Name) *Entry { return b.entries[true][n] }

// Reservations lists all of them by name.
func (b *Calendar) Reservations() []*Entry { return b.sorted(false) }

// Windows lists all of them by name.
func (b *Calendar) Windows() []*Entry { return b.sorted(true) }

func (b *Calendar) sorted(window bool) []*Entry {
	return slices.SortedFunc(maps.Values(b.entries[window]), compareNames)
}

// Empty reports whether nothing is in the book.
func (b *Calendar) Empty() bool { return len(b.entries[false]) == 0 && len(b.entries[true]) == 0 }

// Covers reports whether a window covers a machine.
func Covers(s *record.WindowSpec, id protocol.MachineID, t protocol.MachineType, z protocol.Zone) bool {
	if len(s.Machines) > 0 {
		return slices.Contains(s.Machines, id)
	}
	return (s.Type == "" || s.Type == t) && (s.Zone == "" || s.Zone == z)
}
