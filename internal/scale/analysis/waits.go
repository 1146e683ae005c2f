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
	// AllClasses names the waits of all tasks among those of classes.
	AllClasses = "all"
	// unstartedGrace is how long before the end of a run a job must be submitted for its
	// unstarted tasks to count.
	unstartedGrace = 10 * time.Second
)

// waits returns how long tasks waited for their first start, by class, and how long
// urgent jobs waited for all of their tasks. An unstarted task has waited at least until
// the end of the run; it does not count if its job was submitted shortly before.
func (r *Run) waits() (map[string]metrics.Waits, []urgentWait) {
	submitted, end := r.submissions()
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
			if !started && at > end-unstartedGrace {
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

// submissions returns when each job that was not cancelled was submitted, and when the
// last answer of the run arrived.
func (r *Run) submissions() (at map[protocol.JobID]time.Duration, end time.Duration) {
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

// summarizeClasses returns the waits of each class, and of all.
func summarizeClasses(classes map[string]*hdrhistogram.Histogram) map[string]metrics.Waits {
	out := map[string]metrics.Waits{}
	all := metrics.NewHistogram()
	for name, histogram := range classes {
		out[name] = metrics.WaitsOf(histogram)
		all.Merge(histogram)
	}
	out[AllClasses] = metrics.WaitsOf(all)
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

// firstOf returns when an event of a kind was first seen for each task.
func firstOf(events []rules.MachineEvent, kind rules.MachineEventKind) map[protocol.TaskID]time.Duration {
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
