package workload

import (
	"math"

	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
)

// objectiveShare is the largest share of a class's jobs that an objective of the settings
// names, 0 if none does, and whether they should start within a time.
func (wl *Workload) objectiveShare(class string) (share float64, awaited bool) {
	for _, o := range wl.Objectives() {
		switch {
		case o.Class != class:
		case o.Kind == "wait" || o.Kind == "deadline" || o.Kind == "finished":
			share = math.Max(share, o.Share)
			awaited = awaited || o.Kind == "wait"
		}
	}
	return share, awaited
}

// WithoutObjective reports whether nobody says when a job should be done, its team is
// guaranteed nothing, and its tasks run longer than another machine takes to be
// up. Such jobs take only room that classes with objectives are not likely to
// need: what has the same priority can't be stopped for others, so guests' long
// tasks, once they fill a fleet, would hold all of it until they end. More urgent than
// all of these classes they yield to none: that they may wait is said by nobody.
func (wl *Workload) WithoutObjective(j *protocol.Job) bool {
	share, _ := wl.objectiveShare(j.Class)
	return share == 0 && !wl.HasGuarantee(j.Team) && wl.Estimate(j) > wl.BootSeconds(j) && wl.someAsUrgent(j)
}

// someAsUrgent reports whether a class with an objective is as urgent as a job.
func (wl *Workload) someAsUrgent(j *protocol.Job) bool {
	for _, k := range wl.Classes {
		if k.Job.Priority.Rank() >= j.Priority.Rank() {
			return true
		}
	}
	return false
}

// ReservedForObjectives is how many processors the classes with objectives are likely to need:
// what they use on average, and what it takes to work off in time what comes
// beyond that, the deviations of the classes taken as independent. Until arrivals
// have been watched for a while that is all that is up, but for leastLeft: tasks that
// begin then hold for minutes what a fleet that comes up was rented for.
func (wl *Workload) ReservedForObjectives(up float64) (cpus float64) {
	squares, least := 0.0, 0.0
	for _, k := range ordered.Of(wl.Classes) {
		bootS := wl.BootSeconds(&k.Job)
		if math.IsInf(bootS, 1) {
			continue
		}
		if wl.Since(wl.SessionStart).Seconds() < forecast.KnownBoots*bootS {
			least = up
		}
		work := wl.coming(k, func(a forecast.Arrival) float64 { return a.Work })
		cpus += work.Mean()
		beyond := float64(wl.Reserve(k)) * k.Job.CPUs
		if !k.HasStartObjective {
			slack := wl.slackSeconds(&k.Job, bootS)
			beyond = math.Max(0, work.Within(slack)/slack-work.Mean())
		}
		squares += beyond * beyond
	}
	return math.Max(cpus+math.Sqrt(squares), least)
}

// slackSeconds is how long tasks of a job that comes may wait and be done in time, in
// seconds; no less than a machine takes to be up.
func (wl *Workload) slackSeconds(j *protocol.Job, upS float64) float64 {
	slack := math.Inf(1)
	for _, by := range wl.ObjectiveTimes(j) {
		slack = math.Min(slack, by-wl.Estimate(j))
	}
	if math.IsInf(slack, 1) {
		return upS
	}
	return math.Max(slack, upS)
}
