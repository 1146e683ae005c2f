package reservation

import (
	"cmp"
	"fmt"
	"iter"
	"slices"
	"time"
)

// adjacent goes through what is active beside an entry at any of its times, at
// each moment within at which that changes for the worse, but through the same
// set only once: most days are alike. The entry's own name is left out, and the
// reservations among what is active are added to beside.
func (c *Calendar) adjacent(times []Moment, length time.Duration, own Name, beside map[Name]bool) iter.Seq2[Moment, []Occurrence] {
	return func(yield func(Moment, []Occurrence) bool) {
		visited := map[string]bool{}
		for _, start := range times {
			for _, m := range c.changes(Occurrence{Start: start, End: After(start, length)}) {
				active := c.active(m, own, beside)
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

// changes are the moments within an occurrence at which what overlaps it
// changes for the worse: its own beginning, and those of others.
func (c *Calendar) changes(within Occurrence) []Moment {
	moments := []Moment{within.Start}
	for _, o := range c.Overlapping(within.Start, within.End) {
		if o.Start > within.Start {
			moments = append(moments, o.Start)
		}
	}
	slices.Sort(moments)
	return slices.Compact(moments)
}

// active lists what there is at a moment, but for one reservation's name, without its
// times and in one order, so that the same set is known again. The reservations among
// it are added to beside.
func (c *Calendar) active(m Moment, own Name, beside map[Name]bool) []Occurrence {
	var active []Occurrence
	for _, o := range c.Overlapping(m, m+1) {
		if !o.Window && o.Name == own {
			continue
		}
		if !o.Window {
			beside[o.Name] = true
		}
		active = append(active, Occurrence{Name: o.Name, Window: o.Window})
	}
	slices.SortFunc(active, func(x, y Occurrence) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), falseFirst(x.Window, y.Window))
	})
	return active
}

// splitActive splits what is active: windows, and reservations in the order in which
// they were accepted.
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
