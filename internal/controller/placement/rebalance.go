package placement

import (
	"cmp"
	"math"
	"slices"

	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

const (
	// MaxMovesPerStep is the maximum number of tasks moved in one step. When thousands of
	// machines become available again at once, the remaining tasks are moved in the next ticks.
	MaxMovesPerStep = 500
	// maxMovable is the number of movable tasks after which a step examines no further queue; the
	// longest queues are examined first.
	maxMovable = 20000
)

// movableTasks are the queued tasks of one job: those of the longest queues first, and
// within a queue the last placed first.
type movableTasks struct {
	job      *jobs.Job
	need     resource.Amount
	excluded func(*waittable.Machine) bool // see Placer.excludedByReservations
	tasks    []movableTask
}

// movableTask is a queued attempt.
type movableTask struct {
	*jobs.Attempt
	wait float64 // expected wait per processor on the machine where it is queued
}

// Rebalance moves queued tasks from the longest queues to machines with free resources: it
// requests the tasks' dispatchers to release them, and released tasks are placed again. It
// considers only the machines after the given one, at which the previous step stopped: the
// tasks for the machines up to that one are being moved, and the wait table does not include
// them yet.
func (p *Placer) Rebalance(after protocol.MachineID) {
	p.RebalancePosition = ""
	if !p.HoldsLease() {
		return
	}
	receivers := p.machinesWithFreeResources(after)
	if len(receivers) == 0 {
		return
	}
	movable := p.movableTasksByJob()
	if len(movable) == 0 {
		return
	}
	minNeed := smallestNeed(movable)
	claims, remaining := p.NewClaims(), MaxMovesPerStep
	for _, m := range receivers {
		if m.Idle().Covers(minNeed) {
			remaining -= p.moveTasksTo(m, movable, claims, remaining)
		}
		if remaining <= 0 {
			p.RebalancePosition = m.ID
			return
		}
	}
}

// ContinueRebalance continues a rebalance that stopped at MaxMovesPerStep, if one did.
func (p *Placer) ContinueRebalance() {
	if p.RebalancePosition != "" {
		p.Rebalance(p.RebalancePosition)
	}
}

// machinesWithFreeResources lists the machines after the given one to which queued tasks may
// be moved: those with free resources and no queue, and those with reservations and idle
// resources.
func (p *Placer) machinesWithFreeResources(after protocol.MachineID) []*waittable.Machine {
	var free []*waittable.Machine
	for _, m := range p.table.InOrder() {
		if m.ID <= after || !p.table.Usable(m) || m.State.Epoch != m.Epoch {
			continue
		}
		if m.State.Queued == 0 && m.Free().CPUs > resource.Tolerance ||
			len(p.reservations.Holds[m.ID]) > 0 && m.Idle().CPUs > resource.Tolerance {
			free = append(free, m)
		}
	}
	return free
}

// smallestNeed returns the least of each resource that any of the tasks needs.
func smallestNeed(movable []*movableTasks) resource.Amount {
	minNeed := resource.Amount{CPUs: math.Inf(1), GPUs: math.Inf(1), GB: math.Inf(1)}
	for _, tasks := range movable {
		minNeed = resource.Amount{
			CPUs: min(minNeed.CPUs, tasks.need.CPUs),
			GPUs: min(minNeed.GPUs, tasks.need.GPUs),
			GB:   min(minNeed.GB, tasks.need.GB),
		}
	}
	return minNeed
}

// waitPerCPU returns the expected wait on a machine in seconds: processor seconds per
// processor.
func waitPerCPU(m *waittable.Machine) float64 { return m.Wait() / m.Info.CPUs }

// movableTasksByJob lists the queued tasks of the owned jobs that the dispatchers may still
// release, by job, and within a job those with the longest expected wait first. Tasks of gangs
// are not moved.
func (p *Placer) movableTasksByJob() []*movableTasks {
	byJob := map[protocol.JobID]*movableTasks{}
	var all []*movableTasks
	count := 0
	for _, m := range p.machinesWithQueues() {
		if count >= maxMovable {
			break
		}
		wait := waitPerCPU(m)
		for _, attempt := range p.jobs.AttemptsByMachine[m.ID] {
			job := p.jobs.ByID[attempt.Task.Job]
			if job == nil || !attempt.IsMovable() || job.IsGang() {
				continue
			}
			tasks := byJob[job.ID]
			if tasks == nil {
				tasks = &movableTasks{job: job, need: resource.Need(&job.Job), excluded: p.excludedByReservations(job)}
				byJob[job.ID] = tasks
				all = append(all, tasks)
			}
			tasks.tasks = append(tasks.tasks, movableTask{attempt, wait})
			count++
		}
	}
	for _, tasks := range all {
		slices.SortFunc(tasks.tasks, func(a, b movableTask) int {
			return cmp.Or(cmp.Compare(b.wait, a.wait), cmp.Compare(b.Number, a.Number))
		})
	}
	return all
}

// machinesWithQueues lists the machines that have a queue and attempts of owned jobs, the
// longest expected wait first.
func (p *Placer) machinesWithQueues() []*waittable.Machine {
	var queued []*waittable.Machine
	for _, m := range p.table.InOrder() {
		if m.State.Queued > 0 && len(p.jobs.AttemptsByMachine[m.ID]) > 0 {
			queued = append(queued, m)
		}
	}
	slices.SortStableFunc(queued, func(a, b *waittable.Machine) int { return cmp.Compare(waitPerCPU(b), waitPerCPU(a)) })
	return queued
}

// moveTasksTo requests the release of queued tasks, at most maxMoves, until they would use all
// idle resources of a machine. Tasks of the highest priority come first, then those of the
// longest queues. Where other tasks are queued on the machine, only tasks with resources held
// for them there are moved to it. It returns the number of releases requested.
func (p *Placer) moveTasksTo(m *waittable.Machine, movable []*movableTasks, claims *Claims, maxMoves int) (moved int) {
	free := m.Idle()
	for ; moved < maxMoves; moved++ {
		var best *movableTasks
		for _, tasks := range movable {
			if len(tasks.tasks) == 0 || !free.Covers(tasks.need) || best != nil && !tasks.movesBefore(best) {
				continue
			}
			mayOvertake := m.State.Queued == 0 || p.reservations.HeldFor(&tasks.job.Job, m)
			if mayOvertake && p.mayMove(tasks, m, claims) {
				best = tasks
			}
		}
		if best == nil {
			break
		}
		next := best.tasks[0]
		best.tasks = best.tasks[1:]
		free = free.Minus(best.need)
		p.jobs.SendStop(next.Attempt, false, 0)
		p.Log.Debug("requested release of a queued task", "task", next.Task, "from", next.Machine, "to", m.ID)
	}
	return moved
}

// movesBefore reports whether the first task of a job is moved before that of another job: the
// one with the higher priority, then with the longer expected wait, then the last placed.
func (t *movableTasks) movesBefore(other *movableTasks) bool {
	a, b := t.tasks[0], other.tasks[0]
	return cmp.Or(
		cmp.Compare(other.job.Priority.Rank(), t.job.Priority.Rank()),
		cmp.Compare(b.wait, a.wait), cmp.Compare(b.Number, a.Number)) < 0
}

// mayMove reports whether the next of a job's movable tasks may be moved to a machine: it is
// another machine on which the job has not failed, and neither the job's requirements nor
// reservations or class reserves exclude the task from it.
func (p *Placer) mayMove(tasks *movableTasks, m *waittable.Machine, claims *Claims) bool {
	job, next := tasks.job, tasks.tasks[0]
	if next.Machine == m.ID || job.FailedOn[m.ID] {
		return false
	}
	var zones map[protocol.Zone]int
	if job.OneZone || job.Spread { // otherwise the zones don't matter, and counting them for each task is costly
		zones = job.ZoneCounts()
		zones[next.Zone]--
	}
	if tasks.excluded != nil && tasks.excluded(m) {
		return false
	}
	return job.Allows(m, zones) && claims.LeavesClassReserves(job, m, tasks.need)
}
