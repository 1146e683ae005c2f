package placement

import (
	"cmp"
	"math"
	"slices"

	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/waittable"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// movableTasks are the tasks of one job that wait in queues: those of the
// longest queues first and in them the last in line first.
type movableTasks struct {
	job      *jobs.Job
	need     resource.Amount
	excluded func(*waittable.Machine) bool // see Placer.Excluded
	tasks    []movableTask
}

type movableTask struct {
	*jobs.Attempt
	wait float64 // per processor, where it is queued
}

const (
	// MovesMost bounds the tasks moved in one step. When thousands of machines
	// come back at once, the rest follows with the next ticks.
	MovesMost = 500
	// movableMost bounds the waiting tasks looked at in one step: those of the
	// longest queues.
	movableMost = 20000
)

// Rebalance lets a machine with room take unstarted tasks from the longest
// queue: the owner has them released there and places them again. What was
// left by the step before goes on where that ended: the machines before have
// their tasks on the way, which the table does not show yet.
func (pl *Placer) Rebalance(after protocol.MachineID) {
	pl.RebalancedUpTo = ""
	if !pl.HoldsLease() {
		return
	}
	var roomy []*waittable.Machine
	for _, m := range pl.table.InOrder() {
		if m.ID > after && pl.table.Usable(m) && m.Reported.Epoch == m.Epoch && (m.Reported.Queued == 0 && m.Free().CPUs > resource.Slack || len(pl.reservations.Holds[m.ID]) > 0 && m.Idle().CPUs > resource.Slack) {
			roomy = append(roomy, m)
		}
	}
	if len(roomy) == 0 {
		return
	}
	movable := pl.movableTasksByJob()
	if len(movable) == 0 {
		return
	}
	least := resource.Amount{CPUs: math.Inf(1), GPUs: math.Inf(1), GB: math.Inf(1)}
	for _, g := range movable {
		least = resource.Amount{CPUs: min(least.CPUs, g.need.CPUs), GPUs: min(least.GPUs, g.need.GPUs), GB: min(least.GB, g.need.GB)}
	}
	cl, left := pl.NewClaims(), MovesMost
	for _, m := range roomy {
		if m.Idle().Covers(least) {
			left -= pl.moveTasksTo(m, movable, cl, left)
		}
		if left <= 0 {
			pl.RebalancedUpTo = m.ID
			return
		}
	}
}

// ContinueRebalance does what the last rebalance left.
func (pl *Placer) ContinueRebalance() {
	if pl.RebalancedUpTo != "" {
		pl.Rebalance(pl.RebalancedUpTo)
	}
}

// movableTasksByJob lists the tasks of this owner that wait in queues, by job.
func (pl *Placer) movableTasksByJob() []*movableTasks {
	byJob := map[protocol.JobID]*movableTasks{}
	var all []*movableTasks
	var queued []*waittable.Machine
	for _, m := range pl.table.InOrder() {
		if m.Reported.Queued > 0 && len(pl.jobs.AttemptsOn[m.ID]) > 0 {
			queued = append(queued, m)
		}
	}
	perCPU := func(m *waittable.Machine) float64 { return m.Wait() / m.Info.CPUs }
	slices.SortStableFunc(queued, func(a, b *waittable.Machine) int { return cmp.Compare(perCPU(b), perCPU(a)) })
	n := 0
	for _, m := range queued {
		if n >= movableMost {
			break
		}
		wait := perCPU(m)
		for _, t := range pl.jobs.AttemptsOn[m.ID] {
			o := pl.jobs.ByID[t.Task.Job]
			if o == nil || t.Started || t.Stopping || t.ReleaseAsked || t.Unverified || o.Kind == protocol.KindGang && o.Tasks > 1 {
				continue
			}
			g := byJob[o.ID]
			if g == nil {
				g = &movableTasks{job: o, need: resource.Need(&o.Job), excluded: pl.excludedByHolds(o)}
				byJob[o.ID] = g
				all = append(all, g)
			}
			g.tasks = append(g.tasks, movableTask{t, wait})
			n++
		}
	}
	for _, g := range all {
		slices.SortFunc(g.tasks, func(a, b movableTask) int {
			return cmp.Or(cmp.Compare(b.wait, a.wait), cmp.Compare(b.Number, a.Number))
		})
	}
	return all
}

// moveTasksTo fills a machine's room with movable tasks, at most so many, the most
// urgent first, then those of the longest queues. It returns how many it took.
func (pl *Placer) moveTasksTo(m *waittable.Machine, movable []*movableTasks, cl *Claims, most int) (taken int) {
	free := m.Idle()
	for ; taken < most; taken++ {
		var best *movableTasks
		for _, g := range movable {
			if len(g.tasks) > 0 && free.Covers(g.need) && (m.Reported.Queued == 0 || pl.reservations.HeldFor(&g.job.Job, m)) && (best == nil || g.before(best)) && pl.mayMove(g, m, cl) {
				best = g
			}
		}
		if best == nil {
			break
		}
		t := best.tasks[0]
		best.tasks = best.tasks[1:]
		free = free.Minus(best.need)
		pl.jobs.SendStop(t.Attempt, false, 0)
		pl.Log.Debug("moving a waiting task", "task", t.Task, "from", t.Machine, "to", m.ID)
	}
	return taken
}

func (g *movableTasks) before(h *movableTasks) bool {
	a, b := g.tasks[0], h.tasks[0]
	return cmp.Or(
		cmp.Compare(h.job.Priority.Rank(), g.job.Priority.Rank()),
		cmp.Compare(b.wait, a.wait), cmp.Compare(b.Number, a.Number)) < 0
}

// mayMove reports whether a machine may take the next of a job's movable tasks.
func (pl *Placer) mayMove(g *movableTasks, m *waittable.Machine, cl *Claims) bool {
	o, t := g.job, g.tasks[0]
	if t.Machine == m.ID || o.FailedOn[m.ID] {
		return false
	}
	var zones map[protocol.Zone]int
	if o.OneZone || o.Spread { // else they don't matter, and counting them for each task is costly
		zones = o.ZoneCounts()
		zones[t.Zone]--
	}
	if g.excluded != nil && g.excluded(m) {
		return false
	}
	return o.Allows(m, zones) && cl.LeavesClaimed(o, m, g.need)
}
