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

// maxListedTimes is the maximum number of occurrences whose starts an Answer lists.
const maxListedTimes = 3

// errNoOccurrenceAhead means that an entry has no occurrence from now until Horizon.
var errNoOccurrenceAhead = errors.New("its time is over, or more than a year away")

// SiteFacts describes the site, as the input of a decision.
type SiteFacts struct {
	Types map[protocol.MachineType]protocol.TypeInfo // catalogue of the machine types
	Team  func(protocol.Team) (config.Team, bool)    // returns a team, and whether it exists
	// MaxMachines is the largest number of machines of a type that operators count on. A
	// type without a number has no bound, as the cloud does not report its capacity.
	MaxMachines map[protocol.MachineType]int
	// Machine returns the type and zone of a machine, and whether it is up, that is, registered.
	Machine func(protocol.MachineID) (protocol.MachineType, protocol.Zone, bool)
}

// Answer is the decision on a requested reservation or window.
type Answer struct {
	OK     bool
	Reason string // why the entry is refused, or which resources it gets
	// Conflicts names the entries because of which the requested one is refused, Overlapping
	// the reservations that overlap an accepted one in time.
	Conflicts   []Name
	Overlapping []Name
	FirstTimes  []Moment // starts of its first occurrences
}

func refused(conflicts []Name, format string, args ...any) Answer {
	return Answer{Reason: fmt.Sprintf(format, args...), Conflicts: conflicts}
}

func accepted(reason string, times []Moment, overlapping map[Name]bool) Answer {
	return Answer{
		OK: true, Reason: reason, FirstTimes: times[:min(len(times), maxListedTimes)],
		Overlapping: slices.Sorted(maps.Keys(overlapping)),
	}
}

// DecideReservation decides whether a reservation can be accepted in addition to all entries
// that have been accepted before: a task fits an allowed machine type, its team exists, it has
// an occurrence within Horizon, and during each of these it fits, together with all other
// reservations, within the team's limit and on the machines of the site that are in no window.
// A reservation of its own name does not count: the new one would replace it. The calendar is
// not changed.
func (c *Calendar) DecideReservation(s *record.ReservationSpec, f *SiteFacts, now Moment) Answer {
	if !feasibleInCatalogue(s, f) {
		return refused(nil, "a task fits no allowed machine type of the catalogue")
	}
	if s.Team != "" {
		if _, ok := f.Team(s.Team); !ok {
			return refused(nil, "unknown team %s", s.Team)
		}
	}
	times, err := occurrencesWithinHorizon(s.When, now)
	if err != nil {
		return refused(nil, "%v", err)
	}
	overlapping := map[Name]bool{}
	for m, active := range c.distinctActiveSets(times, MaxOccurrenceDuration(s), s.Name, overlapping) {
		if a := c.checkCapacity(s, active, f); !a.OK {
			a.Reason += " on " + formatUTC(m)
			return a
		}
	}
	return accepted(describeAcceptance(s, f), times, overlapping)
}

// DecideWindow decides whether a window can be accepted: its machine type, if it names one,
// exists, it has an occurrence within Horizon, and no reservation that overlaps it would lack
// resources for more tasks than without the window. The calendar is not changed.
func (c *Calendar) DecideWindow(s *record.WindowSpec, f *SiteFacts, now Moment) Answer {
	if s.Type != "" {
		if _, ok := f.Types[s.Type]; !ok {
			return refused(nil, "the catalogue has no type %s", s.Type)
		}
	}
	times, err := occurrencesWithinHorizon(s.When, now)
	if err != nil {
		return refused(nil, "%v", err)
	}
	window := &Entry{Window: &record.Window{Spec: *s}}
	overlapping := map[Name]bool{}
	for m, active := range c.distinctActiveSets(times, config.Seconds(s.LengthS), "", overlapping) {
		if names := c.displacedReservations(window, active, f); len(names) > 0 {
			return refused(names, "what is promised would have no room on %s", formatUTC(m))
		}
	}
	return accepted("nothing new starts there then; what runs is let run", times, overlapping)
}

// feasibleInCatalogue reports whether a task of a reservation fits on an empty ordinary
// machine of some type of the catalogue in a zone where both the reservation and the
// catalogue allow the type.
func feasibleInCatalogue(s *record.ReservationSpec, f *SiteFacts) bool {
	for _, t := range f.Types {
		for _, z := range t.AllowZones {
			if FitsMachineType(s, t, z) {
				return true
			}
		}
	}
	return false
}

// occurrencesWithinHorizon parses a schedule and returns its occurrences from now until
// Horizon. It is an error if there are none.
func occurrencesWithinHorizon(text string, now Moment) ([]Moment, error) {
	schedule, err := ParseSchedule(text)
	if err != nil {
		return nil, err
	}
	times := schedule.Occurrences(now, After(now, Horizon))
	if len(times) == 0 {
		return nil, errNoOccurrenceAhead
	}
	return times, nil
}

func formatUTC(m Moment) string { return time.UnixMilli(int64(m)).UTC().Format("2006-01-02 15:04 MST") }

// describeAcceptance returns the reason of an accepted reservation: which resources it gets.
func describeAcceptance(s *record.ReservationSpec, f *SiteFacts) string {
	if len(f.MaxMachines) == 0 {
		return fmt.Sprintf("room for %d tasks; what is not there is rented, as the cloud does not say how much it has", s.Tasks)
	}
	return fmt.Sprintf("room for %d tasks, within the machines that operators count on", s.Tasks)
}
