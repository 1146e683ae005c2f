package autoscaler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// estimateMargin is the multiple of a task's estimate that is reserved for its run before
// the job's deadline: owners' estimates are often wrong by half.
const estimateMargin = 1.5

// minBootRemaining is the remaining boot time, in seconds, of a machine that is overdue.
const minBootRemaining = 1

// PlanScaleOut requests the machines that the unstarted and the expected work needs beyond
// those that are up, booting or requested.
func (a *Autoscaler) PlanScaleOut() {
	plan := binpack.New(a.openTypes(), a.slots(), a.requestedMachines())
	// Tasks that should start within a time come first, then the resources reserved for
	// more of their classes: the rest must not count on those.
	rest := a.reserveForStartObjectives(plan, a.demands())
	a.reserveForClasses(plan)
	a.sortByUrgency(rest)
	a.planner.provisionReserved(plan)
	a.workOff(plan, rest)
	a.workOffExpected(plan)
	a.provisionPlanned(plan)
}

// requestedMachines counts, by kind, the machines of requests without an answer.
func (a *Autoscaler) requestedMachines() map[binpack.Kind]int {
	counts := map[binpack.Kind]int{}
	for _, call := range a.provisionCalls {
		counts[call.kind()] += call.request.Count
	}
	return counts
}

// slots lists the resources of all machines that are up, booting or requested.
func (a *Autoscaler) slots() []binpack.Slot {
	var up binpack.Slots
	for _, m := range a.table.InOrder() {
		if !a.table.Usable(m) || len(a.reservations.Windows) > 0 && a.InWindow(m.ID, m.Record.Type, m.Record.Zone, a.WallTime(), a.WallTime()) {
			continue
		}
		alike := binpack.Alike{Kind: m.Kind(), Free: m.Unreserved(), Held: m.AnnouncedUses}
		for rank := range alike.Held {
			alike.Held[rank] = alike.Held[rank].Plus(m.PendingUses[rank])
		}
		up.Add(alike, m.Info)
	}
	slots := up.List
	for id, m := range ordered.ByKey(a.booting) {
		if a.canaryOnly(m.Kind) {
			continue
		}
		slot := binpack.NewSlot(a.Types[m.Type], m.Kind, 1)
		slot.ReadyInSeconds = math.Max(slot.Info.BootS-a.Since(m.at).Seconds(), minBootRemaining)
		slot.Free = slot.Free.Minus(clusterstate.ReservedAmount(a.reservations.Holds[id], a.WallTime()))
		slots = append(slots, slot)
	}
	for _, call := range ordered.ByKey(a.provisionCalls) {
		slots = append(slots, binpack.NewSlot(a.Types[call.request.Type], call.kind(), call.request.Count))
	}
	return slots
}

// demands lists the unstarted work of all owners, the oldest first.
func (a *Autoscaler) demands() []message.Demand {
	var demands []message.Demand
	for _, p := range a.table.Peers {
		demands = append(demands, p.Demand...)
	}
	slices.SortFunc(demands, func(x, y message.Demand) int {
		return cmp.Or(cmp.Compare(y.OldestS, x.OldestS), cmp.Compare(x.Job, y.Job))
	})
	return demands
}

// reserveForStartObjectives plans machines for the tasks whose class has a start
// objective, and returns the other demands.
func (a *Autoscaler) reserveForStartObjectives(plan *binpack.Plan, demands []message.Demand) (rest []message.Demand) {
	for _, d := range demands {
		switch j := a.demandedJob(d); {
		case j == nil:
		case a.HasStartObjective(&j.Job):
			plan.Reserve(a.work(j, resource.Level(d.Level), d.EstimateS), d.Unstarted)
		default:
			rest = append(rest, d)
		}
	}
	return rest
}

// reserveForClasses plans machines for the tasks that the classes with a start objective
// are likely to bring while a machine boots.
func (a *Autoscaler) reserveForClasses(plan *binpack.Plan) {
	for _, class := range ordered.ByKey(a.workload.Classes) {
		j := &clusterstate.LiveJob{Job: class.Job}
		j.OneZone = false // the resources are reserved for several jobs
		if n := a.workload.TasksToReserve(class); n > 0 {
			plan.Reserve(a.work(j, resource.LevelOf(j.Priority, false), 0), n)
		}
	}
}

// sortByUrgency sorts demands by level, the highest first, and by the time left to start:
// each job gets what those before it leave of the machines until its deadline.
func (a *Autoscaler) sortByUrgency(demands []message.Demand) {
	slices.SortStableFunc(demands, func(x, y message.Demand) int {
		jobX, jobY := a.Live[x.Job], a.Live[y.Job]
		return cmp.Or(cmp.Compare(y.Level, x.Level), cmp.Compare(a.timeLeft(jobX, x), a.timeLeft(jobY, y)))
	})
}

// workOff plans machines for the demands that those there can't finish in time.
func (a *Autoscaler) workOff(plan *binpack.Plan, demands []message.Demand) {
	topRank, runS, tasks := 0, 0.0, 0.0
	for _, d := range demands {
		topRank = max(topRank, a.Live[d.Job].Priority.Rank())
		runS += d.EstimateS * float64(d.Unstarted)
		tasks += float64(d.Unstarted)
	}
	plan.PoolCapacity(topRank, runS/math.Max(tasks, 1))
	for _, d := range demands {
		j := a.demandedJob(d)
		plan.ReserveBefore(a.work(j, resource.Level(d.Level), d.EstimateS), d.Unstarted, a.timeLeft(j, d))
	}
}

// workOffExpected plans machines for the work that the classes without a start objective
// are likely to bring while a machine boots. It has to start by then: otherwise each
// burst would wait for the machines that the last one needed.
func (a *Autoscaler) workOffExpected(plan *binpack.Plan) {
	for _, class := range ordered.ByKey(a.workload.Classes) {
		if work := a.workload.ExpectedWork(class); work > 0 {
			estimateS := a.Estimate(&class.Job)
			n := int(work / (estimateS * math.Max(class.Job.CPUs, resource.Tolerance)))
			plan.ReserveBefore(a.work(&clusterstate.LiveJob{Job: class.Job}, 0, estimateS), n, a.workload.BootSeconds(&class.Job))
		}
	}
}

// work describes tasks of a job to a plan.
func (a *Autoscaler) work(j *clusterstate.LiveJob, level resource.Level, estimateS float64) binpack.Work {
	return binpack.Work{
		Need: resource.Need(&j.Job), Level: level, OneZone: j.OneZone && j.Zone == "", AvoidsSpot: a.workload.AvoidsSpot(&j.Job),
		EstimateSeconds: estimateS, FetchSeconds: func(t protocol.TypeInfo) float64 { return clusterstate.FetchS(t, &j.Job) },
		Allows: j.AllowsKind, Offers: a.offers(j),
	}
}

// demandedJob returns the job of a demand, in the zone that its owner has bound it to;
// nil if the job is not known here.
func (a *Autoscaler) demandedJob(d message.Demand) *clusterstate.LiveJob {
	j := a.Live[d.Job]
	if j == nil || d.Zone == "" {
		return j
	}
	bound := *j
	bound.Zone = d.Zone
	return &bound
}

// timeLeft is how long a job's tasks may still wait and finish by its deadline, in
// seconds. A job without objectives should wait no longer than a machine takes to boot.
func (a *Autoscaler) timeLeft(j *clusterstate.LiveJob, d message.Demand) float64 {
	if len(a.ObjectiveTimes(&j.Job)) == 0 {
		return 0
	}
	return math.Max(0, time.Duration(j.Deadline-a.Now).Seconds()-estimateMargin*d.EstimateS)
}
