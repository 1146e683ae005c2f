package workload

import (
	"math"

	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
)

// The kinds of objectives that reserve resources for a class.
const (
	objectiveWait     = "wait"     // a task starts within a time
	objectiveDeadline = "deadline" // a job ends by a multiple of its deadline
	objectiveFinished = "finished" // a job ends within a time
)

// objectiveShare is the largest share of a class's jobs that an objective is about, 0 if
// there is none, and whether the class has a start objective.
func (w *Workload) objectiveShare(class string) (share float64, hasStart bool) {
	for _, o := range w.Objectives() {
		switch {
		case o.Class != class:
		case o.Kind == objectiveWait || o.Kind == objectiveDeadline || o.Kind == objectiveFinished:
			share = math.Max(share, o.Share)
			hasStart = hasStart || o.Kind == objectiveWait
		}
	}
	return share, hasStart
}

// WithoutObjective reports whether a job has long tasks and nothing says when they should
// run: its class has no objective, its team no guarantee, and they run longer than another
// machine takes to boot. Such jobs use only resources that the classes with objectives are
// not likely to need: tasks of the same priority can't be preempted, so once they fill the
// cluster they would keep all of it until they end. A job of a higher priority than all
// classes with objectives is none of these: nothing says that it may wait.
func (w *Workload) WithoutObjective(j *protocol.Job) bool {
	share, _ := w.objectiveShare(j.Class)
	return share == 0 && !w.HasGuarantee(j.Team) && w.Estimate(j) > w.BootSeconds(j) && w.anyClassAsUrgent(j)
}

// anyClassAsUrgent reports whether a class with an objective has at least the priority of
// a job.
func (w *Workload) anyClassAsUrgent(j *protocol.Job) bool {
	for _, class := range w.Classes {
		if class.Job.Priority.Rank() >= j.Priority.Rank() {
			return true
		}
	}
	return false
}

// ReservedForObjectives is the number of processors that the classes with objectives are
// likely to need: what they use on average, and what it takes to work off in time what
// arrives beyond the average, with the deviations of the classes taken as independent.
// Until arrivals have been observed for long enough it is at least up, the processors of
// all machines: tasks without an objective that start then would use, for minutes, the
// machines that were provisioned for others.
func (w *Workload) ReservedForObjectives(up float64) (cpus float64) {
	squares, least := 0.0, 0.0
	for _, class := range ordered.Of(w.Classes) {
		bootS := w.BootSeconds(&class.Job)
		if math.IsInf(bootS, 1) {
			continue
		}
		if w.Since(w.SessionStart).Seconds() < forecast.KnownBoots*bootS {
			least = up
		}
		work := w.forecastOf(class, workOf)
		cpus += work.Mean()
		beyond := float64(w.Reserve(class)) * class.Job.CPUs
		if !class.HasStartObjective {
			slack := w.slackSeconds(&class.Job, bootS)
			beyond = math.Max(0, work.Within(slack)/slack-work.Mean())
		}
		squares += beyond * beyond
	}
	return math.Max(cpus+math.Sqrt(squares), least)
}

// slackSeconds is how long tasks of an arriving job may wait and still end in time, in
// seconds; no less than a machine takes to boot.
func (w *Workload) slackSeconds(j *protocol.Job, bootS float64) float64 {
	slack := math.Inf(1)
	for _, by := range w.ObjectiveTimes(j) {
		slack = math.Min(slack, by-w.Estimate(j))
	}
	if math.IsInf(slack, 1) {
		return bootS
	}
	return math.Max(slack, bootS)
}
