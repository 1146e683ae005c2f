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

// estimateMargin is the multiple of a task's run time estimate that is allowed for its run
// before the job's deadline: owners' estimates are often wrong by half.
const estimateMargin = 1.5

// minBootRemainingS is the minimum of the remaining boot time that is assumed for a booting
// machine, in seconds. It applies to machines that have exceeded their boot time.
const minBootRemainingS = 1

// PlanScaleOut makes one plan and sends its requests to the cloud: for the machines that
// unstarted tasks, reservations and expected work need in addition to those that are
// registered, booting or requested.
func (a *Autoscaler) PlanScaleOut() {
	plan := binpack.New(a.provisionableTypes(), a.slots(), a.requestedMachines())
	// Tasks with a start objective come first, then the resources reserved for further
	// tasks of their classes: the remaining work must not count on these resources.
	rest := a.reserveForStartObjectives(plan, a.demands())
	a.reserveForExpectedTasks(plan)
	a.sortByUrgency(rest)
	a.planner.provisionForReservations(plan)
	a.planBacklog(plan, rest)
	a.planExpectedWork(plan)
	a.sendPlannedRequests(plan)
}

// requestedMachines counts the machines of requests without an answer by kind.
func (a *Autoscaler) requestedMachines() map[binpack.Kind]int {
	counts := map[binpack.Kind]int{}
	for _, call := range a.provisionCalls {
		counts[call.kind()] += call.request.Count
	}
	return counts
}

// slots lists the machines on which a plan may count, with their free resources: the
// registered ones on which tasks may be placed and that are in no open maintenance window, the
// booting and the requested ones. It leaves out booting machines of kinds that are restricted
// to canaries. Resources held for reservations don't count as free.
func (a *Autoscaler) slots() []binpack.Slot {
	var usable binpack.SlotGroups
	for _, m := range a.table.InOrder() {
		if !a.table.Usable(m) || len(a.reservations.Windows) > 0 && a.InWindow(m.ID, m.Record.Type, m.Record.Zone, a.WallTime(), a.WallTime()) {
			continue
		}
		alike := binpack.MachineProfile{Kind: m.Kind(), Free: m.Unreserved(), Used: m.AnnouncedUses}
		for rank := range alike.Used {
			alike.Used[rank] = alike.Used[rank].Plus(m.PendingUses[rank])
		}
		usable.Add(alike, m.Info)
	}
	slots := usable.List
	for id, m := range ordered.ByKey(a.booting) {
		if a.canaryOnly(m.Kind) {
			continue
		}
		slot := binpack.NewSlot(a.Types[m.Type], m.Kind, 1)
		slot.ReadyInSeconds = math.Max(slot.Info.BootS-a.Since(m.provisionedAt).Seconds(), minBootRemainingS)
		slot.Free = slot.Free.Minus(clusterstate.ReservedAmount(a.reservations.Holds[id], a.WallTime()))
		slots = append(slots, slot)
	}
	for _, call := range ordered.ByKey(a.provisionCalls) {
		slots = append(slots, binpack.NewSlot(a.Types[call.request.Type], call.kind(), call.request.Count))
	}
	return slots
}

// demands lists the unstarted tasks that all job owners last reported, by job, the longest
// waiting first.
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

// reserveForStartObjectives plans machines, such that all tasks start at once, for the demands
// whose class has a start objective. It returns the other demands, without those of jobs that
// this controller does not list as live.
func (a *Autoscaler) reserveForStartObjectives(plan *binpack.Plan, demands []message.Demand) (rest []message.Demand) {
	for _, d := range demands {
		switch j := a.jobOfDemand(d); {
		case j == nil:
		case a.HasStartObjective(&j.Job):
			plan.Reserve(a.workFor(j, resource.Level(d.Level), d.EstimateS), d.Unstarted)
		default:
			rest = append(rest, d)
		}
	}
	return rest
}

// reserveForExpectedTasks plans machines for the tasks that are likely to arrive, in classes
// with a start objective, while a machine boots, less those that resources becoming free in
// that time can serve.
func (a *Autoscaler) reserveForExpectedTasks(plan *binpack.Plan) {
	for _, class := range ordered.ByKey(a.workload.Classes) {
		j := &clusterstate.LiveJob{Job: class.Job}
		j.OneZone = false // the resources are reserved for several jobs
		if n := a.workload.TasksToReserve(class); n > 0 {
			plan.Reserve(a.workFor(j, resource.LevelOf(j.Priority, false), 0), n)
		}
	}
}

// sortByUrgency sorts demands by level, the highest first, and then by the time within which
// they have to start. Each job uses the capacity until its deadline that the jobs before it
// leave.
func (a *Autoscaler) sortByUrgency(demands []message.Demand) {
	slices.SortStableFunc(demands, func(x, y message.Demand) int {
		jobX, jobY := a.Live[x.Job], a.Live[y.Job]
		return cmp.Or(cmp.Compare(y.Level, x.Level), cmp.Compare(a.startSlackSeconds(jobX, x), a.startSlackSeconds(jobY, y)))
	})
}

// planBacklog plans machines for those of the given demands, in their order, whose tasks the
// existing machines can't start early enough to finish by the jobs' deadlines.
func (a *Autoscaler) planBacklog(plan *binpack.Plan, demands []message.Demand) {
	topRank, runS, tasks := 0, 0.0, 0.0
	for _, d := range demands {
		topRank = max(topRank, a.Live[d.Job].Priority.Rank())
		runS += d.EstimateS * float64(d.Unstarted)
		tasks += float64(d.Unstarted)
	}
	plan.BuildPools(topRank, runS/math.Max(tasks, 1))
	for _, d := range demands {
		j := a.jobOfDemand(d)
		plan.ReserveWithin(a.workFor(j, resource.Level(d.Level), d.EstimateS), d.Unstarted, a.startSlackSeconds(j, d))
	}
}

// planExpectedWork plans machines for the work that is likely to arrive, in classes without a
// start objective, while a machine boots. This work has to start within the boot time:
// otherwise each burst would wait for the machines that the previous burst needed.
func (a *Autoscaler) planExpectedWork(plan *binpack.Plan) {
	for _, class := range ordered.ByKey(a.workload.Classes) {
		if work := a.workload.ExpectedWork(class); work > 0 {
			estimateS := a.Estimate(&class.Job)
			n := int(work / (estimateS * math.Max(class.Job.CPUs, resource.Tolerance)))
			plan.ReserveWithin(a.workFor(&clusterstate.LiveJob{Job: class.Job}, 0, estimateS), n, a.workload.BootSeconds(&class.Job))
		}
	}
}

// workFor returns the tasks of a job in the form that a plan packs them, at a level and with
// an estimated run time in seconds.
func (a *Autoscaler) workFor(j *clusterstate.LiveJob, level resource.Level, estimateS float64) binpack.Work {
	return binpack.Work{
		Need: resource.Need(&j.Job), Level: level, OneZone: j.OneZone && j.Zone == "", AvoidsSpot: a.workload.AvoidsSpot(&j.Job),
		EstimateSeconds: estimateS, FetchSeconds: func(t protocol.TypeInfo) float64 { return clusterstate.FetchS(t, &j.Job) },
		Allows: j.AllowsKind, Offers: a.offers(j),
	}
}

// jobOfDemand returns the job of a demand, restricted to the demand's zone if it has one. It
// returns nil if the job is not in the controller's list of live jobs.
func (a *Autoscaler) jobOfDemand(d message.Demand) *clusterstate.LiveJob {
	j := a.Live[d.Job]
	if j == nil || d.Zone == "" {
		return j
	}
	bound := *j
	bound.Zone = d.Zone
	return &bound
}

// startSlackSeconds returns how long a job's tasks may wait and still finish by the job's
// deadline, in seconds. It is 0 for a job without objectives, whose tasks should wait no
// longer than a machine takes to boot.
func (a *Autoscaler) startSlackSeconds(j *clusterstate.LiveJob, d message.Demand) float64 {
	if len(a.ObjectiveTimes(&j.Job)) == 0 {
		return 0
	}
	return math.Max(0, time.Duration(j.Deadline-a.Now).Seconds()-estimateMargin*d.EstimateS)
}
