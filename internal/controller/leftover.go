package controller

import (
	"math"
	"slices"
	"time"

	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// objectiveShare is the largest share of a class's jobs that an objective of the settings
// names, 0 if none does, and whether they should start within a time.
func (wl *workload) objectiveShare(class string) (share float64, awaited bool) {
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

// withoutObjective reports whether nobody says when a job should be done, its team is
// guaranteed nothing, and its tasks run longer than another machine takes to be
// up. Such jobs take only room that classes with objectives are not likely to
// need: what has the same priority can't be stopped for others, so guests' long
// tasks, once they fill a fleet, would hold all of it until they end. More urgent than
// all of these classes they yield to none: that they may wait is said by nobody.
func (wl *workload) withoutObjective(j *protocol.Job) bool {
	share, _ := wl.objectiveShare(j.Class)
	return share == 0 && !wl.HasGuarantee(j.Team) && wl.Estimate(j) > wl.upS(j) && wl.someAsUrgent(j)
}

// someAsUrgent reports whether a class with an objective is as urgent as a job.
func (wl *workload) someAsUrgent(j *protocol.Job) bool {
	for _, k := range wl.classes {
		if k.job.Priority.Rank() >= j.Priority.Rank() {
			return true
		}
	}
	return false
}

// beginsWithin is how long a job without an objective waits for what others leave
// before it begins like any other of its level.
const beginsWithin = time.Minute

// overdueToBegin reports whether nothing of a job has been placed for so long. Its
// first task, or all of a gang, then goes where any other's would, and may wait in a
// queue; the rest has what others leave. Else, where all that is up is likely to be
// needed, such jobs would not begin at all.
func (pl *placer) overdueToBegin(o *ownedJob) bool {
	return pl.notBegunFor(o, beginsWithin)
}

// notBegunFor reports whether nothing of a job has been placed for so long.
func (pl *placer) notBegunFor(o *ownedJob, d time.Duration) bool {
	return len(o.placed) == 0 && o.nDone == 0 && pl.Since(o.since) > d
}

// isReserved reports whether room is held for a job by what is promised.
func (rh *reservationHolds) isReserved(j *protocol.Job) bool {
	of := rh.ReservationFilter(j)
	return slices.ContainsFunc(rh.List, func(h reservation.Hold) bool { return of(h.For) })
}

// reservedForObjectives is how many processors the classes with objectives are likely to need:
// what they use on average, and what it takes to work off in time what comes
// beyond that, the deviations of the classes taken as independent. Until arrivals
// have been watched for a while that is all that is up, but for leastLeft: tasks that
// begin then hold for minutes what a fleet that comes up was rented for.
func (wl *workload) reservedForObjectives(up float64) (cpus float64) {
	squares, least := 0.0, 0.0
	for _, k := range ordered.Of(wl.classes) {
		bootS := wl.upS(&k.job)
		if math.IsInf(bootS, 1) {
			continue
		}
		if wl.Since(wl.SessionStart).Seconds() < forecast.KnownBoots*bootS {
			least = up
		}
		work := wl.coming(k, func(a forecast.Arrival) float64 { return a.Work })
		cpus += work.Mean()
		beyond := float64(wl.reserve(k)) * k.job.CPUs
		if !k.awaited {
			slack := wl.slackSeconds(&k.job, bootS)
			beyond = math.Max(0, work.Within(slack)/slack-work.Mean())
		}
		squares += beyond * beyond
	}
	return math.Max(cpus+math.Sqrt(squares), least)
}

// slackSeconds is how long tasks of a job that comes may wait and be done in time, in
// seconds; no less than a machine takes to be up.
func (wl *workload) slackSeconds(j *protocol.Job, upS float64) float64 {
	slack := math.Inf(1)
	for _, by := range wl.ObjectiveTimes(j) {
		slack = math.Min(slack, by-wl.Estimate(j))
	}
	if math.IsInf(slack, 1) {
		return upS
	}
	return math.Max(slack, upS)
}

// leastLeft is the part of what is up that jobs without an objective may take
// however much is expected: they would starve where that is always too much.
const leastLeft = 0.1

// headroom is how many processors this owner's jobs without an objective may take
// now: its part, by what waits, of what the others leave of the machines that are
// up. Where no class with an objective has been seen it has no bound.
func (pl *placer) headroom() float64 {
	if len(pl.workload.classes) == 0 {
		return math.Inf(1)
	}
	held, waits, all, one := 0.0, 0.0, 0.0, 0.0
	for id, l := range pl.Live { // sums of processors, rounded below
		if !pl.workload.withoutObjective(&l.Job) {
			continue
		}
		if o := pl.jobs.byID[id]; o != nil {
			held += float64(len(o.placed)) * l.CPUs
			waits += float64(o.pending.Count()) * l.CPUs
			each := l.CPUs
			if l.Kind == protocol.KindGang {
				each *= float64(l.Tasks)
			}
			one = math.Max(one, each)
			continue
		}
		g, _ := pl.jobs.JobProgress(id)
		held += float64(g.Running) * l.CPUs
		all += float64(l.Tasks-min(l.Tasks, g.Done+g.Running)) * l.CPUs
	}
	if all += waits; waits == 0 {
		return 0
	}
	held, waits, all = resource.Round(held), resource.Round(waits), resource.Round(all)
	up := 0.0
	for _, m := range pl.table.machinesInOrder() {
		if pl.table.usable(m) {
			up += m.Info.CPUs
		}
	}
	left := math.Max(up-pl.workload.reservedForObjectives(up), leastLeft*up)
	if held == 0 {
		left = math.Max(left, all/waits*one) // one task or gang at least, however small the fleet
	}
	return math.Max(0, left-held) * waits / all
}

// takeHeadroom reports whether n tasks of a job may take room in this step, as far
// as it may have only what others leave, and takes it.
func (cl *claims) takeHeadroom(o *ownedJob, n int) bool {
	if !o.usesHeadroom {
		return true
	}
	cpus := float64(n) * o.CPUs
	if cpus > cl.leftOver+resource.Slack {
		return false
	}
	cl.leftOver -= cpus
	return true
}
