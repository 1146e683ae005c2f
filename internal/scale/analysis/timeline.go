package analysis

import (
	"cmp"
	"slices"
	"time"

	"damsonkeel/internal/scale/rules"
)

// timelineStep is the length of the period that a point of a timeline describes.
const timelineStep = 5 * time.Second

// TimelinePoint describes the period of timelineStep that ends at AtS.
type TimelinePoint struct {
	AtS      float64 `json:"at_s"`     // seconds since the first user event
	StartsS  float64 `json:"starts_s"` // task starts per second
	Running  int     `json:"running"`  // tasks on machines at the end of the period
	Machines int     `json:"machines"` // machines that are up at the end of the period
}

// timeline returns the rate of task starts and the numbers of running tasks and machines for each
// period of timelineStep that ended no later than the last machine event. It returns nil if there are no
// user events.
func (r *Run) timeline() []TimelinePoint {
	if len(r.Users) == 0 {
		return nil
	}
	begin := r.Users[0].RequestedAt
	var points []TimelinePoint
	tasks := newTaskTracker()
	starts, periodEnd := 0, begin+timelineStep
	for _, e := range sortedByTime(r.Machines) {
		for e.At >= periodEnd {
			points = append(points, TimelinePoint{(periodEnd - begin).Seconds(), float64(starts) / timelineStep.Seconds(), tasks.running(), tasks.machinesUp})
			starts, periodEnd = 0, periodEnd+timelineStep
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

// peakPerSecond returns the highest number of the sorted times that lie within one second.
func peakPerSecond(at []time.Duration) int {
	peak, first := 0, 0
	for i := range at {
		for at[i]-at[first] >= time.Second {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}

// runningPeak returns the highest number of tasks that were on machines at the same time.
func runningPeak(events []rules.MachineEvent) int {
	tasks, peak := newTaskTracker(), 0
	for _, e := range sortedByTime(events) {
		tasks.apply(e)
		peak = max(peak, tasks.running())
	}
	return peak
}
