package analysis

import (
	"maps"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/metrics"
	"damsonkeel/internal/scale/rules"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// AllClasses is the key of the waits of all tasks among the waits by class.
	AllClasses = "all"
	// unstartedMargin is how long before the end of the run a job must have been submitted for
	// its unstarted tasks to count.
	unstartedMargin = 10 * time.Second
)

// measureWaits returns how long tasks waited for their first start, by class, and how long
// urgent jobs waited until all of their tasks ran. An unstarted task counts with its wait until
// the end of the run; it does not count at all if its job was submitted within unstartedMargin
// before the end.
func (r *Run) measureWaits() (map[string]metrics.Quantiles, []urgentWait) {
	submitted, end := r.submitTimes()
	first, atLimit := r.firstStarts(), r.submittedAtLimit()
	classes := map[string]*hdrhistogram.Histogram{}
	var urgent []urgentWait
	for id, at := range submitted {
		job := r.Jobs[id]
		if classes[job.Class] == nil {
			classes[job.Class] = metrics.NewHistogram()
		}
		longest := time.Duration(-1)
		for i := range job.Tasks {
			start, started := first[protocol.TaskID{Job: id, Index: i}]
			if !started && at > end-unstartedMargin {
				continue
			}
			if !started {
				start = end
			}
			longest = max(longest, start-at)
			metrics.Observe(classes[job.Class], start-at)
		}
		if job.Class == urgentClass && longest >= 0 {
			urgent = append(urgent, urgentWait{submitted: at, wait: longest, atLimit: atLimit[id]})
		}
	}
	return summarizeClasses(classes), urgent
}

// submitTimes returns when each job that was not cancelled was submitted, and the end of the
// run, which is the time of the last response to a user.
func (r *Run) submitTimes() (at map[protocol.JobID]time.Duration, end time.Duration) {
	at = map[protocol.JobID]time.Duration{}
	cancelled := map[protocol.JobID]bool{}
	for _, e := range r.Users {
		end = max(end, e.AnsweredAt)
		switch e.Kind {
		case rules.UserDescribes:
			at[e.Job] = e.RequestedAt
		case rules.UserCancels:
			cancelled[e.Job] = true
		}
	}
	maps.DeleteFunc(at, func(id protocol.JobID, _ time.Duration) bool { return cancelled[id] })
	return at, end
}

// summarizeClasses returns the quantiles of the waits of each class, and of all classes under
// AllClasses.
func summarizeClasses(classes map[string]*hdrhistogram.Histogram) map[string]metrics.Quantiles {
	out := map[string]metrics.Quantiles{}
	all := metrics.NewHistogram()
	for name, histogram := range classes {
		out[name] = metrics.QuantilesOf(histogram)
		all.Merge(histogram)
	}
	out[AllClasses] = metrics.QuantilesOf(all)
	return out
}

// firstStarts returns when each task first ran. The tasks of a gang run once all of them
// have started.
func (r *Run) firstStarts() map[protocol.TaskID]time.Duration {
	first := map[protocol.TaskID]time.Duration{}
	for _, e := range r.Machines {
		job := r.Jobs[e.Task.Job]
		isGang := job.Kind == protocol.KindGang && job.Tasks > 1
		switch {
		case e.Kind == rules.TaskStarted && !isGang:
			updateEarliest(first, e.Task, e.At)
		case e.Kind == rules.GangRunning:
			for i := range job.Tasks {
				updateEarliest(first, protocol.TaskID{Job: job.ID, Index: i}, e.At)
			}
		}
	}
	return first
}

// firstEventTimes returns the time of the first event of a kind for each task.
func firstEventTimes(events []rules.MachineEvent, kind rules.MachineEventKind) map[protocol.TaskID]time.Duration {
	first := map[protocol.TaskID]time.Duration{}
	for _, e := range events {
		if e.Kind == kind {
			updateEarliest(first, e.Task, e.At)
		}
	}
	return first
}

// updateEarliest stores a task's time unless an earlier one is stored.
func updateEarliest(times map[protocol.TaskID]time.Duration, task protocol.TaskID, at time.Duration) {
	if previous, ok := times[task]; !ok || at < previous {
		times[task] = at
	}
}
