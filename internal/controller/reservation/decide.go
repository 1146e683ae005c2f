package reservation

import (
	"cmp"
	"errors"
	"fmt"
	"iter"
	"maps"
	"slices"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Facts is what a decision knows of the site.
type Facts struct {
	Types map[protocol.MachineType]protocol.TypeInfo
	Team  func(protocol.Team) (config.Team, bool)
	// Most is how many machines of a type there can be at the most, as far as
	// operators say so; the cloud does not.
	Most map[protocol.MachineType]int
	// Machine finds the type and zone of a machine that is up.
	Machine func(protocol.MachineID) (protocol.MachineType, protocol.Zone, bool)
}

// Answer is what was decided on a reservation or a window.
type Answer struct {
	OK     bool
	Reason string // why it is refused, or what is promised
	// InTheWay names what it can't be kept beside, Beside what overlaps it and
	// fits as well.
	InTheWay []Name
	Beside   []Name
	First    []Moment // its first times
}

func refused(inTheWay []Name, format string, args ...any) Answer {
	return Answer{Reason: fmt.Sprintf(format, args...), InTheWay: inTheWay}
}

// firstTimes is how many of its times an answer lists.
const firstTimes = 3

// DecideReservation decides whether a reservation can be kept beside everything that is
// promised already.
func (b *Calendar) DecideReservation(s *record.ReservationSpec, f *Facts, now Moment) Answer {
	fits := false
	for _, t := range f.Types {
		for _, z := range t.AllowZones {
			fits = fits || Fits(s, t, z)
		}
	}
	if !fits {
		return refused(nil, "a task fits no allowed machine type of the catalogue")
	}
	if s.Team != "" {
		if _, ok := f.Team(s.Team); !ok {
			return refused(nil, "unknown team %s", s.Team)
		}
	}
	times, err := timesOf(s.When, now)
	if err != nil {
		return refused(nil, "%v", err)
	}
	beside := map[Name]bool{}
	for m, active := range b.adjacent(times, Busy(s), s.Name, beside) {
		if a := b.fit(s, active, f); !a.OK {
			a.Reason += " on " + clockTime(m)
			return a
		}
	}
	return Answer{
		OK: true, Reason: describePromise(s, f), First: times[:min(len(times), firstTimes)],
		Beside: slices.Sorted(maps.Keys(beside)),
	}
}

// timesOf lists when something is due within the time that the calendar is kept.
func timesOf(when string, now Moment) ([]Moment, error) {
	w, err := ParseWhen(when)
	if err != nil {
		return nil, err
	}
	times := w.Occurrences(now, After(now, Ahead))
	if len(times) == 0 {
		return nil, errors.New("its time is over, or more than a year away")
	}
	return times, nil
}

func clockTime(m Moment) string { return time.UnixMilli(int64(m)).UTC().Format("2006-01-02 15:04 MST") }

// describePromise says what a reservation gets.
func describePromise(s *record.ReservationSpec, f *Facts) string {
	if len(f.Most) == 0 {
		return fmt.Sprintf("room for %d tasks; what is not there is rented, as the cloud does not say how much it has", s.Tasks)
	}
	return fmt.Sprintf("room for %d tasks, within the machines that operators count on", s.Tasks)
}

// adjacent goes through what is active beside something at any of its times, at
// each moment within at which that changes for the worse, but through the same
// set only once: most days are alike. Reservations among it are noted, one name is
// clearEndedAttempts out.
func (b *Calendar) adjacent(times []Moment, length time.Duration, but Name, beside map[Name]bool) iter.Seq2[Moment, []Occurrence] {
	return func(yield func(Moment, []Occurrence) bool) {
		tried := map[string]bool{}
		for _, start := range times {
			for _, m := range b.changes(Occurrence{Start: start, End: After(start, length)}) {
				active := b.active(m, but, beside)
				key := fmt.Sprint(active)
				if tried[key] {
					continue
				}
				tried[key] = true
				if !yield(m, active) {
					return
				}
			}
		}
	}
}

// changes are the moments within an occurrence at which what overlaps it
// changes for the worse: its own beginning, and those of others.
func (b *Calendar) changes(at Occurrence) []Moment {
	ms := []Moment{at.Start}
	for _, o := range b.Overlapping(at.Start, at.End) {
		if o.Start > at.Start {
			ms = append(ms, o.Start)
		}
	}
	slices.Sort(ms)
	return slices.Compact(ms)
}

// active lists what there is at a moment, but for one name; reservations are
// noted.
func (b *Calendar) active(m Moment, but Name, beside map[Name]bool) []Occurrence {
	var out []Occurrence
	for _, o := range b.Overlapping(m, m+1) {
		if !o.Window && o.Name == but {
			continue
		}
		if !o.Window {
			beside[o.Name] = true
		}
		out = append(out, Occurrence{Name: o.Name, Window: o.Window})
	}
	// In one order, so that the same set is known again.
	slices.SortFunc(out, func(x, y Occurrence) int {
		if c := cmp.Compare(x.Name, y.Name); c != 0 || x.Window == y.Window {
			return c
		}
		if y.Window {
			return -1
		}
		return 1
	})
	return out
}

// entriesOf splits what is active: windows, and reservations in the order in which
// they were accepted.
func (b *Calendar) entriesOf(active []Occurrence) (windows, reservations []*Entry) {
	for _, o := range active {
		if o.Window {
			windows = append(windows, b.Window(o.Name))
		} else {
			reservations = append(reservations, b.Reservation(o.Name))
		}
	}
	slices.SortFunc(reservations, func(x, y *Entry) int { return cmp.Compare(x.Order, y.Order) })
	return windows, reservations
}

// fit tries to house a reservation beside those active at the same time.
// Reservations accepted earlier go first.
func (b *Calendar) fit(s *record.ReservationSpec, active []Occurrence, f *Facts) Answer {
	windows, others := b.entriesOf(active)
	if a := withinTeam(s, others, f); !a.OK {
		return a
	}
	p := binpack.New(f.Types, slotsBeside(windows, f), nil)
	for _, e := range others {
		p.Fill(workOf(&e.Reservation.Spec), e.Reservation.Spec.Tasks)
	}
	left := p.Fill(workOf(s), s.Tasks)
	if left == 0 {
		return Answer{OK: true}
	}
	var names []Name
	for _, e := range windows {
		names = append(names, e.Window.Spec.Name)
	}
	for _, e := range others {
		if overlapTypes(s, &e.Reservation.Spec) {
			names = append(names, e.Reservation.Spec.Name)
		}
	}
	return refused(names, "no room for %d of its %d tasks", left, s.Tasks)
}

// overlapTypes reports whether two reservations could want the same machines.
func overlapTypes(a, b *record.ReservationSpec) bool {
	if a.Zone != "" && b.Zone != "" && a.Zone != b.Zone {
		return false
	}
	return len(a.Types) == 0 || len(b.Types) == 0 || slices.ContainsFunc(a.Types, func(t protocol.MachineType) bool { return slices.Contains(b.Types, t) })
}

// withinTeam checks the team's limit: what a team is promised for the same time
// has to stay within it.
func withinTeam(s *record.ReservationSpec, others []*Entry, f *Facts) Answer {
	team, ok := f.Team(s.Team)
	if !ok || !team.Limited() {
		return Answer{OK: true}
	}
	n := float64(s.Tasks)
	cpus, gpus := n*s.CPUs, n*s.GPUs
	var names []Name
	for _, e := range others {
		if o := &e.Reservation.Spec; o.Team == s.Team {
			cpus, gpus = cpus+float64(o.Tasks)*o.CPUs, gpus+float64(o.Tasks)*o.GPUs
			names = append(names, o.Name)
		}
	}
	if team.MaxCPUs > 0 && cpus > team.MaxCPUs+resource.Slack || team.MaxGPUs > 0 && gpus > team.MaxGPUs+resource.Slack {
		return refused(names, "more than the limit of team %s, with what is promised to it for the same time", s.Team)
	}
	return Answer{OK: true}
}

// unbounded stands for as many machines as anybody may ask for.
const unbounded = 1 << 20

// slotsBeside is the room there can be while windows are open.
func slotsBeside(windows []*Entry, f *Facts) []binpack.Slot {
	var slots []binpack.Slot
	for _, name := range slices.Sorted(maps.Keys(f.Types)) {
		t := f.Types[name]
		most, known := f.Most[name]
		for i, z := range t.AllowZones {
			if slices.ContainsFunc(windows, func(e *Entry) bool { return Covers(&e.Window.Spec, "", name, z) }) {
				continue
			}
			n := unbounded
			if known { // in each zone its part: in which the cloud has them nobody knows
				n = most / len(t.AllowZones)
				if i < most%len(t.AllowZones) {
					n++
				}
			}
			for _, e := range windows {
				for _, id := range e.Window.Spec.Machines {
					if at, in, up := f.Machine(id); up && at == name && in == z {
						n--
					}
				}
			}
			slots = append(slots, binpack.Fresh(t, binpack.Kind{Type: name, Zone: z}, max(0, n)))
		}
	}
	return slots
}

// workOf is a reservation's tasks as a plan reckons with them.
func workOf(s *record.ReservationSpec) binpack.Work {
	return binpack.Work{
		Need: Size(s), Level: resource.LevelOf(s.Priority, false), OneZone: s.OneZone && s.Zone == "",
		Allows: func(t protocol.TypeInfo, z protocol.Zone, spot bool) bool { return Allows(s, t, z, spot) },
	}
}

// DecideWindow decides whether a window leaves room for everything that is promised.
func (b *Calendar) DecideWindow(s *record.WindowSpec, f *Facts, now Moment) Answer {
	if s.Type != "" {
		if _, ok := f.Types[s.Type]; !ok {
			return refused(nil, "the catalogue has no type %s", s.Type)
		}
	}
	times, err := timesOf(s.When, now)
	if err != nil {
		return refused(nil, "%v", err)
	}
	trial := &Entry{Window: &record.Window{Spec: *s}}
	beside := map[Name]bool{}
	for m, active := range b.adjacent(times, config.Seconds(s.LengthS), "", beside) {
		if names := b.broken(trial, active, f); len(names) > 0 {
			return refused(names, "what is promised would have no room on %s", clockTime(m))
		}
	}
	return Answer{OK: true, Reason: "nothing new starts there then; what runs is let run", First: times[:min(len(times), firstTimes)], Beside: slices.Sorted(maps.Keys(beside))}
}

// broken names the reservations that have no room beside another window, and
// had some without it.
func (b *Calendar) broken(trial *Entry, active []Occurrence, f *Facts) (names []Name) {
	windows, others := b.entriesOf(active)
	windows = slices.DeleteFunc(windows, func(e *Entry) bool { return e.Name() == trial.Name() })
	before, with := binpack.New(f.Types, slotsBeside(windows, f), nil), binpack.New(f.Types, slotsBeside(append(windows, trial), f), nil)
	for _, e := range others {
		s := &e.Reservation.Spec
		if before.Fill(workOf(s), s.Tasks) < with.Fill(workOf(s), s.Tasks) {
			names = append(names, s.Name)
		}
	}
	return names
}
