package scale

import (
	"cmp"
	"slices"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// timelineStep is how far the points of a timeline are apart.
const timelineStep = 5 * time.Second

// TimelinePoint is what went on in the time before it.
type TimelinePoint struct {
	AtS     float64 `json:"at_s"`
	StartsS float64 `json:"starts_s"` // a second
	Running int     `json:"running"`  // tasks on machines, at its end
	// Machines are those that are up, at its end.
	Machines int `json:"machines"`
}

// timeline is the starts and what ran, over time.
func (h *Hub) timeline() []TimelinePoint {
	if len(h.users) == 0 {
		return nil
	}
	begin := h.users[0].RequestedAt
	events := slices.Clone(h.events)
	slices.SortStableFunc(events, func(a, b rules.MachineEvent) int { return cmp.Compare(a.At, b.At) })
	var points []TimelinePoint
	count := newTracker()
	starts, next := 0, begin+timelineStep
	for _, e := range events {
		for e.At >= next {
			points = append(points, TimelinePoint{(next - begin).Seconds(), float64(starts) / timelineStep.Seconds(), count.running(), count.machines})
			starts, next = 0, next+timelineStep
		}
		if count.take(e); e.Kind == rules.TaskStarted {
			starts++
		}
	}
	return points
}

// UrgentStages are the parts of an urgent task's wait: until its job is accepted, from
// then until its worker has the order to start it, and until it has its image.
type UrgentStages struct {
	Accepted Waits `json:"accepted"`
	Ordered  Waits `json:"ordered"`
	Image    Waits `json:"image"`
}

// urgentStages measures the parts of the waits of urgent tasks.
func (h *Hub) urgentStages() UrgentStages {
	submitted, accepted := map[protocol.JobID]time.Duration{}, map[protocol.JobID]time.Duration{}
	for _, e := range h.users {
		switch {
		case e.Kind == rules.UserDescribes:
			submitted[e.Job] = e.RequestedAt
		case e.Kind == rules.UserSubmits && e.Status/100 == 2 && accepted[e.Job] == 0:
			accepted[e.Job] = e.AnsweredAt
		}
	}
	ordered, on := firstOf(h.events, rules.TaskStartAccepted), firstOf(h.events, rules.TaskStarted)
	var stages [3]*hdrhistogram.Histogram
	for i := range stages {
		stages[i] = newHistogram()
	}
	for task, at := range on {
		if h.jobs[task.Job].Class != urgentClass || accepted[task.Job] == 0 || ordered[task] == 0 {
			continue
		}
		observe(stages[0], accepted[task.Job]-submitted[task.Job])
		observe(stages[1], ordered[task]-accepted[task.Job])
		observe(stages[2], at-ordered[task])
	}
	return UrgentStages{waitsOf(stages[0]), waitsOf(stages[1]), waitsOf(stages[2])}
}

// firstOf is when something first happened to each task.
func firstOf(events []rules.MachineEvent, kind rules.MachineEventKind) map[protocol.TaskID]time.Duration {
	first := map[protocol.TaskID]time.Duration{}
	for _, e := range events {
		if e.Kind != kind {
			continue
		}
		if was, ok := first[e.Task]; !ok || e.At < was {
			first[e.Task] = e.At
		}
	}
	return first
}
