package analysis

import (
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/metrics"
	"damsonkeel/internal/scale/rules"
)

const (
	// urgentClass is the class of the jobs that should start immediately.
	urgentClass = "urgent"
	// urgentTarget is the time within which all tasks of an urgent job should start.
	urgentTarget = 2400 * time.Millisecond
)

// UrgentSummary describes how long a group of urgent jobs waited until all of their tasks ran.
type UrgentSummary struct {
	Jobs   int     `json:"jobs"`
	InTime float64 `json:"in_time"` // fraction of the jobs that waited at most urgentTarget
	P99S   float64 `json:"p99_s"`
	WorstS float64 `json:"worst_s"`
}

// UrgentStages holds the quantiles of the three stages of an urgent task's wait: from the
// submission until the job is accepted, from then until the worker accepts the command to
// start the task, and from then until the task's image is present.
type UrgentStages struct {
	Accepted metrics.Quantiles `json:"accepted"`
	Ordered  metrics.Quantiles `json:"ordered"`
	Image    metrics.Quantiles `json:"image"`
}

// urgentWait is the time at which an urgent job was submitted and how long it waited until all
// of its tasks ran.
type urgentWait struct {
	submitted, wait time.Duration
	// atLimit is true if the job was submitted while its team was at its limit; see
	// submittedAtLimit.
	atLimit bool
}

// summarizeUrgent summarizes the waits of the urgent jobs for which include returns true.
func summarizeUrgent(waits []urgentWait, include func(urgentWait) bool) UrgentSummary {
	histogram, inTime := metrics.NewHistogram(), 0
	for _, w := range waits {
		if !include(w) {
			continue
		}
		metrics.Observe(histogram, w.wait)
		if w.wait <= urgentTarget {
			inTime++
		}
	}
	jobs := int(histogram.TotalCount())
	return UrgentSummary{
		Jobs: jobs, InTime: float64(inTime) / float64(max(1, jobs)),
		P99S: metrics.QuantileS(histogram, 99), WorstS: metrics.QuantileS(histogram, 100),
	}
}

// urgentJobWaits returns the quantiles of the waits of all urgent jobs.
func urgentJobWaits(waits []urgentWait) metrics.Quantiles {
	histogram := metrics.NewHistogram()
	for _, w := range waits {
		metrics.Observe(histogram, w.wait)
	}
	return metrics.QuantilesOf(histogram)
}

// measureUrgentStages measures the stages of the waits of urgent tasks. It leaves out tasks for
// which one of the events is missing: the acceptance of the job, the acceptance of the start by the
// worker, or the start.
func (r *Run) measureUrgentStages() UrgentStages {
	submitted, accepted := r.submitAndAcceptTimes()
	ordered := firstEventTimes(r.Machines, rules.TaskStartAccepted)
	acceptedWait, orderedWait, imageWait := metrics.NewHistogram(), metrics.NewHistogram(), metrics.NewHistogram()
	for task, started := range firstEventTimes(r.Machines, rules.TaskStarted) {
		if r.Jobs[task.Job].Class != urgentClass || accepted[task.Job] == 0 || ordered[task] == 0 {
			continue
		}
		metrics.Observe(acceptedWait, accepted[task.Job]-submitted[task.Job])
		metrics.Observe(orderedWait, ordered[task]-accepted[task.Job])
		metrics.Observe(imageWait, started-ordered[task])
	}
	return UrgentStages{Accepted: metrics.QuantilesOf(acceptedWait), Ordered: metrics.QuantilesOf(orderedWait), Image: metrics.QuantilesOf(imageWait)}
}

// submitAndAcceptTimes returns when each job was submitted and when it was first accepted.
func (r *Run) submitAndAcceptTimes() (submitted, accepted map[protocol.JobID]time.Duration) {
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

// isSuccess reports whether an HTTP status code is in the 2xx range.
func isSuccess(status int) bool { return status/100 == 2 }
