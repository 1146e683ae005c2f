package analysis

import (
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/metrics"
	"damsonkeel/internal/scale/rules"
)

const (
	// urgentClass is the class whose jobs are to start at once.
	urgentClass = "urgent"
	// urgentWithin is the time within which urgent jobs are to start.
	urgentWithin = 2400 * time.Millisecond
)

// UrgentSummary describes how long some urgent jobs waited for all of their tasks.
type UrgentSummary struct {
	Jobs   int     `json:"jobs"`
	InTime float64 `json:"in_time"` // fraction that waited at most urgentWithin
	P99S   float64 `json:"p99_s"`
	WorstS float64 `json:"worst_s"`
}

// UrgentStages are the parts of an urgent task's wait: until its job is accepted, from
// then until its worker has the order to start it, and from then until it has its image.
type UrgentStages struct {
	Accepted metrics.Waits `json:"accepted"`
	Ordered  metrics.Waits `json:"ordered"`
	Image    metrics.Waits `json:"image"`
}

// urgentWait is how long an urgent job waited.
type urgentWait struct {
	submitted, wait time.Duration
	// atLimit is set if the job was submitted while its team was at its limit.
	atLimit bool
}

// summarize summarizes the urgent jobs that a filter includes.
func summarize(waits []urgentWait, include func(urgentWait) bool) UrgentSummary {
	histogram, inTime := metrics.NewHistogram(), 0
	for _, w := range waits {
		if !include(w) {
			continue
		}
		metrics.Observe(histogram, w.wait)
		if w.wait <= urgentWithin {
			inTime++
		}
	}
	jobs := int(histogram.TotalCount())
	return UrgentSummary{
		Jobs: jobs, InTime: float64(inTime) / float64(max(1, jobs)),
		P99S: metrics.QuantileS(histogram, 99), WorstS: metrics.QuantileS(histogram, 100),
	}
}

// urgentJobWaits returns the quantiles of all urgent jobs' waits.
func urgentJobWaits(waits []urgentWait) metrics.Waits {
	histogram := metrics.NewHistogram()
	for _, w := range waits {
		metrics.Observe(histogram, w.wait)
	}
	return metrics.WaitsOf(histogram)
}

// urgentStages measures the stages of the waits of urgent tasks.
func (r *Run) urgentStages() UrgentStages {
	submitted, accepted := r.acceptances()
	ordered := firstOf(r.Machines, rules.TaskStartAccepted)
	acceptedWait, orderedWait, imageWait := metrics.NewHistogram(), metrics.NewHistogram(), metrics.NewHistogram()
	for task, started := range firstOf(r.Machines, rules.TaskStarted) {
		if r.Jobs[task.Job].Class != urgentClass || accepted[task.Job] == 0 || ordered[task] == 0 {
			continue
		}
		metrics.Observe(acceptedWait, accepted[task.Job]-submitted[task.Job])
		metrics.Observe(orderedWait, ordered[task]-accepted[task.Job])
		metrics.Observe(imageWait, started-ordered[task])
	}
	return UrgentStages{Accepted: metrics.WaitsOf(acceptedWait), Ordered: metrics.WaitsOf(orderedWait), Image: metrics.WaitsOf(imageWait)}
}

// acceptances returns when each job was submitted and when it was first accepted.
func (r *Run) acceptances() (submitted, accepted map[protocol.JobID]time.Duration) {
	submitted, accepted = map[protocol.JobID]time.Duration{}, map[protocol.JobID]time.Duration{}
	for _, e := range r.Users {
		switch {
		case e.Kind == rules.UserDescribes:
			submitted[e.Job] = e.RequestedAt
		case e.Kind == rules.UserSubmits && isSuccess(e.Status) && accepted[e.Job] == 0:
			accepted[e.Job] = e.AnsweredAt
		}
	}
	return submitted, accepted
}

// isSuccess reports whether an HTTP status is one of success.
func isSuccess(status int) bool { return status/100 == 2 }
