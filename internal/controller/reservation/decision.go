package reservation

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// maxFirstTimes is how many of its times an answer lists.
const maxFirstTimes = 3

// errNoTimeAhead says that nothing of an entry lies within the calendar.
var errNoTimeAhead = errors.New("its time is over, or more than a year away")

// Facts is what a decision knows of the site.
type Facts struct {
	Types map[protocol.MachineType]protocol.TypeInfo
	Team  func(protocol.Team) (config.Team, bool)
	// MaxMachines is how many machines of a type there can be at the most, as far as
	// operators say so; the cloud does not.
	MaxMachines map[protocol.MachineType]int
	// Machine finds the type and zone of a machine that is up.
	Machine func(protocol.MachineID) (protocol.MachineType, protocol.Zone, bool)
}

// Answer is what was decided on a reservation or a window.
type Answer struct {
	OK     bool
	Reason string // why it is refused, or what it gets
	// Conflicts names what it can't be kept beside, Beside what overlaps it and
	// fits as well.
	Conflicts   []Name
	Overlapping []Name
	FirstTimes  []Moment // its first times
}

func refused(inTheWay []Name, format string, args ...any) Answer {
	return Answer{Reason: fmt.Sprintf(format, args...), Conflicts: inTheWay}
}

func accepted(reason string, times []Moment, beside map[Name]bool) Answer {
	return Answer{
		OK: true, Reason: reason, FirstTimes: times[:min(len(times), maxFirstTimes)],
		Overlapping: slices.Sorted(maps.Keys(beside)),
	}
}

// DecideReservation decides whether a reservation can be kept beside everything that is
// accepted already.
func (c *Calendar) DecideReservation(s *record.ReservationSpec, f *Facts, now Moment) Answer {
	if !feasibleInCatalogue(s, f) {
		return refused(nil, "a task fits no allowed machine type of the catalogue")
	}
	if s.Team != "" {
		if _, ok := f.Team(s.Team); !ok {
			return refused(nil, "unknown team %s", s.Team)
		}
	}
	times, err := timesAhead(s.When, now)
	if err != nil {
		return refused(nil, "%v", err)
	}
	beside := map[Name]bool{}
	for m, active := range c.adjacent(times, MaxDuration(s), s.Name, beside) {
		if a := c.checkCapacity(s, active, f); !a.OK {
			a.Reason += " on " + clockTime(m)
			return a
		}
	}
	return accepted(describeAcceptance(s, f), times, beside)
}

// DecideWindow decides whether a window leaves resources for everything that is
// accepted already.
func (c *Calendar) DecideWindow(s *record.WindowSpec, f *Facts, now Moment) Answer {
	if s.Type != "" {
		if _, ok := f.Types[s.Type]; !ok {
			return refused(nil, "the catalogue has no type %s", s.Type)
		}
	}
	times, err := timesAhead(s.When, now)
	if err != nil {
		return refused(nil, "%v", err)
	}
	window := &Entry{Window: &record.Window{Spec: *s}}
	beside := map[Name]bool{}
	for m, active := range c.adjacent(times, config.Seconds(s.LengthS), "", beside) {
		if names := c.displaced(window, active, f); len(names) > 0 {
			return refused(names, "what is promised would have no room on %s", clockTime(m))
		}
	}
	return accepted("nothing new starts there then; what runs is let run", times, beside)
}

// feasibleInCatalogue reports whether a task of a reservation fits any machine type.
func feasibleInCatalogue(s *record.ReservationSpec, f *Facts) bool {
	for _, t := range f.Types {
		for _, z := range t.AllowZones {
			if Fits(s, t, z) {
				return true
			}
		}
	}
	return false
}

// timesAhead lists the occurrences of a time as far ahead as the calendar reaches.
func timesAhead(when string, now Moment) ([]Moment, error) {
	w, err := ParseSchedule(when)
	if err != nil {
		return nil, err
	}
	times := w.Occurrences(now, After(now, Horizon))
	if len(times) == 0 {
		return nil, errNoTimeAhead
	}
	return times, nil
}

func clockTime(m Moment) string { return time.UnixMilli(int64(m)).UTC().Format("2006-01-02 15:04 MST") }

// describeAcceptance says what a reservation gets.
func describeAcceptance(s *record.ReservationSpec, f *Facts) string {
	if len(f.MaxMachines) == 0 {
		return fmt.Sprintf("room for %d tasks; what is not there is rented, as the cloud does not say how much it has", s.Tasks)
	}
	return fmt.Sprintf("room for %d tasks, within the machines that operators count on", s.Tasks)
}
