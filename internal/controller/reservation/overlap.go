package reservation

import (
	"cmp"
	"fmt"
	"iter"
	"slices"
	"time"
)

// distinctActiveSets iterates over the sets of occurrences that are active (in effect) at the
// same time as an entry, whose occurrences begin at the given times and have the given length.
// It yields a moment and the set that is active then. Within an occurrence, it checks each
// moment at which another one begins, as only then there can be fewer resources. Equal sets are
// yielded once, since most days have the same ones.
// The reservation named excluded is left out. All other reservations that are active are
// added to overlapping.
func (c *Calendar) distinctActiveSets(times []Moment, length time.Duration, excluded Name, overlapping map[Name]bool) iter.Seq2[Moment, []Occurrence] {
	return func(yield func(Moment, []Occurrence) bool) {
		visited := map[string]bool{}
		for _, start := range times {
			for _, m := range c.activationTimes(Occurrence{Start: start, End: After(start, length)}) {
				active := c.activeAt(m, excluded, overlapping)
				key := fmt.Sprint(active)
				if visited[key] {
					continue
				}
				visited[key] = true
				if !yield(m, active) {
					return
				}
			}
		}
	}
}

// activationTimes returns the moments within an occurrence at which fewer resources may be
// left for it: its own start and the starts of the occurrences that overlap it.
func (c *Calendar) activationTimes(occurrence Occurrence) []Moment {
	moments := []Moment{occurrence.Start}
	for _, o := range c.Overlapping(occurrence.Start, occurrence.End) {
		if o.Start > occurrence.Start {
			moments = append(moments, o.Start)
		}
	}
	slices.Sort(moments)
	return slices.Compact(moments)
}

// activeAt returns the occurrences that are active at a moment, except those of the
// reservation named excluded. The result has no times and a fixed order, so that equal
// sets can be recognized. The reservations among them are added to overlapping.
func (c *Calendar) activeAt(m Moment, excluded Name, overlapping map[Name]bool) []Occurrence {
	var active []Occurrence
	for _, o := range c.Overlapping(m, m+1) {
		if !o.Window && o.Name == excluded {
			continue
		}
		if !o.Window {
			overlapping[o.Name] = true
		}
		active = append(active, Occurrence{Name: o.Name, Window: o.Window})
	}
	slices.SortFunc(active, func(x, y Occurrence) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), falseFirst(x.Window, y.Window))
	})
	return active
}

// splitActive returns the windows among active occurrences, and the reservations in the order
// in which they were accepted.
func (c *Calendar) splitActive(active []Occurrence) (windows, reservations []*Entry) {
	for _, o := range active {
		if o.Window {
			windows = append(windows, c.Window(o.Name))
		} else {
			reservations = append(reservations, c.Reservation(o.Name))
		}
	}
	slices.SortFunc(reservations, func(x, y *Entry) int { return cmp.Compare(x.Order, y.Order) })
	return windows, reservations
}
