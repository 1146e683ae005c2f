package workload

import (
	"math"

	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
)

// The kinds of objectives for which resources of a class are reserved.
const (
	objectiveWait     = "wait"     // a task starts within a given time
	objectiveDeadline = "deadline" // a job ends within a given multiple of its deadline
	objectiveFinished = "finished" // a job ends within a given time
)

// objectiveShare returns the largest share of a class's jobs, from 0 to 1, that should meet an
// objective, and whether the class has a start objective. The share is 0 if the class has no
// objective of the kinds above.
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

// WithoutObjective reports whether a job has long tasks and no rule that says when they
// should run: its class has no objective, its team has no guarantee, and its tasks run for
// longer than another machine takes to boot. Such jobs use only resources that the classes
// with objectives are not likely to need. Tasks of the same priority can't be preempted, so
// once such tasks filled the cluster they would occupy all of it until they end. The result
// is false for a job with a higher priority than all classes with objectives, since no rule
// allows it to be delayed.
func (w *Workload) WithoutObjective(j *protocol.Job) bool {
	share, _ := w.objectiveShare(j.Class)
	return share == 0 && !w.HasGuarantee(j.Team) && w.Estimate(j) > w.BootSeconds(j) && w.hasClassOfPriority(j)
}

// hasClassOfPriority reports whether, in any class with an objective, the job that arrived last
// has at least the priority of a job.
func (w *Workload) hasClassOfPriority(j *protocol.Job) bool {
	for _, class := range w.Classes {
		if class.Job.Priority.Rank() >= j.Priority.Rank() {
			return true
		}
	}
	return false
}

// ReservedForObjectives returns the number of processors that the classes with objectives are
// likely to need: their average use, plus the processors needed to finish or start in time the
// work that arrives beyond the average. Classes whose jobs no machine type can run are left
// out. The deviations of the classes from their averages are treated as independent. Until the
// session has lasted for forecast.MinObservedBoots boot times of each class, the result is at
// least usableCPUs, the processors of all machines that accept placements. Otherwise tasks
// without an objective that start in that period would occupy for minutes the machines that
// were provisioned for the classes with objectives.
func (w *Workload) ReservedForObjectives(usableCPUs float64) (cpus float64) {
	excessSquares, minCPUs := 0.0, 0.0
	for _, class := range ordered.ByKey(w.Classes) {
		bootS := w.BootSeconds(&class.Job)
		if math.IsInf(bootS, 1) {
			continue
		}
		if w.Since(w.SessionStart).Seconds() < forecast.MinObservedBoots*bootS {
			minCPUs = usableCPUs
		}
		work := w.forecastArrivals(class, arrivalWork)
		cpus += work.MeanPerSecond()
		excess := float64(w.TasksToReserve(class)) * class.Job.CPUs
		if !class.HasStartObjective {
			slack := w.slackSeconds(&class.Job, bootS)
			excess = math.Max(0, work.SizeWithin(slack)/slack-work.MeanPerSecond())
		}
		excessSquares += excess * excess
	}
	return math.Max(cpus+math.Sqrt(excessSquares), minCPUs)
}

// slackSeconds returns how long the tasks of an arriving job may wait and still end by the
// earliest of the job's objective times, in seconds. It is at least bootS, the time that a
// machine takes to boot, and equal to it if the job has no such time.
func (w *Workload) slackSeconds(j *protocol.Job, bootS float64) float64 {
	slack := math.Inf(1)
	for _, withinSeconds := range w.ObjectiveTimes(j) {
		slack = math.Min(slack, withinSeconds-w.Estimate(j))
	}
	if math.IsInf(slack, 1) {
		return bootS
	}
	return math.Max(slack, bootS)
}
