package analysis

import (
	"cmp"
	"slices"
	"time"

	"damsonkeel/internal/scale/rules"
)

// timelineStep is the time between two points of a timeline.
const timelineStep = 5 * time.Second

// TimelinePoint describes the period that ends at its time.
type TimelinePoint struct {
	AtS     float64 `json:"at_s"`
	StartsS float64 `json:"starts_s"` // task starts per second
	Running int     `json:"running"`  // tasks on machines at the period's end
	// Machines is how many machines are up at the period's end.
	Machines int `json:"machines"`
}

// timeline returns starts, running tasks and machines over time.
func (r *Run) timeline() []TimelinePoint {
	if len(r.Users) == 0 {
		return nil
	}
	begin := r.Users[0].RequestedAt
	var points []TimelinePoint
	tasks := newTracker()
	starts, next := 0, begin+timelineStep
	for _, e := range sortedByTime(r.Machines) {
		for e.At >= next {
			points = append(points, TimelinePoint{(next - begin).Seconds(), float64(starts) / timelineStep.Seconds(), tasks.running(), tasks.machines})
			starts, next = 0, next+timelineStep
		}
		if tasks.apply(e); e.Kind == rules.TaskStarted {
			starts++
		}
	}
	return points
}

// sortedByTime returns the events in order of time.
func sortedByTime(events []rules.MachineEvent) []rules.MachineEvent {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b rules.MachineEvent) int { return cmp.Compare(a.At, b.At) })
	return sorted
}

// peakPerSecond returns the highest number of the sorted times within one second.
func peakPerSecond(at []time.Duration) int {
	most, first := 0, 0
	for i := range at {
		for at[i]-at[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// runningPeak returns the highest number of tasks on machines at once.
func runningPeak(events []rules.MachineEvent) int {
	tasks, most := newTracker(), 0
	for _, e := range sortedByTime(events) {
		tasks.apply(e)
		most = max(most, tasks.running())
	}
	return most
}
