package jobs

import (
	"cmp"
	"container/heap"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// Slow machines are detected by tasks that run far longer than the other tasks of the same
// job, since the tasks of a job take about the same time.
const (
	// lateRunFactor is the multiple of the median run time after which a task is late.
	lateRunFactor = 1.6
	// minLateRuns is the number of late tasks that show that their machine is slow. A task
	// that runs for lateRunFactor times that long counts twice.
	minLateRuns = 2
	// lateRunExpiry is the time without another late task after which the count of a
	// machine's late tasks starts again.
	lateRunExpiry = time.Minute
	// reportDelayTolerance is the largest difference expected between the delays of the
	// reports of a task's start and end.
	reportDelayTolerance = 2 * time.Second
	// drainingMachineDivisor limits the machines that are drained at the same time to
	// one in this number. If more machines seem slow, the machines are not the cause.
	drainingMachineDivisor = 10
	// maxRunChecks is the maximum number of tasks checked in one call of DetectSlowMachines.
	maxRunChecks = 500
	// runRecheckDelay is the time until a task is checked again if its job had no median run
	// time, or its end might not have been observed.
	runRecheckDelay = 5 * time.Second
	// maxStateAgeUpdates is the largest age, in replication intervals, of the dispatcher's last
	// update with which a task may be counted as late.
	maxStateAgeUpdates = 3
)

// runDeadline is the time at which a task is checked if it still runs then.
type runDeadline struct {
	at      clock.Time
	attempt *Attempt
}

// runDeadlines is a heap with the earliest deadline on top.
type runDeadlines []runDeadline

// Len is part of heap.Interface.
func (d runDeadlines) Len() int { return len(d) }

// Less is part of heap.Interface.
func (d runDeadlines) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(d[i].at, d[j].at), cmp.Compare(d[i].attempt.Number, d[j].attempt.Number)) < 0
}

// Swap is part of heap.Interface.
func (d runDeadlines) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push is part of heap.Interface.
func (d *runDeadlines) Push(x any) { *d = append(*d, x.(runDeadline)) }

// Pop is part of heap.Interface.
func (d *runDeadlines) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// lateThreshold returns how long a task may run before it is late, given the median run time of
// its job's tasks in seconds.
func lateThreshold(medianSeconds float64) clock.Time {
	return clock.Time(lateRunFactor*medianSeconds*float64(time.Second)) + clock.Time(reportDelayTolerance)
}

// scheduleRunCheck schedules the first check of a running task, for the time at which it is
// late if its estimate is right. Only tasks of job arrays are checked.
func (o *Owned) scheduleRunCheck(job *Job, attempt *Attempt) {
	if job.Kind == protocol.KindJobArray {
		heap.Push(&o.runDeadlines, runDeadline{attempt.runningSince + lateThreshold(o.EstimateRunSeconds(job)), attempt})
	}
}

// DetectSlowMachines checks the running tasks whose check is due, and drains the machines on
// which at least minLateRuns tasks are late: they run for more than lateRunFactor times the
// median run time of their job.
func (o *Owned) DetectSlowMachines() {
	deadlines := &o.runDeadlines
	for range maxRunChecks {
		if len(*deadlines) == 0 || (*deadlines)[0].at > o.Now {
			return
		}
		o.checkRun(heap.Pop(deadlines).(runDeadline).attempt)
	}
}

// checkRun checks whether a running task is late. If it is, the task is counted against its
// machine; if it is not, or can't be assessed yet, its next check is scheduled. An attempt that
// is no longer current, running or on a registered machine is not checked again.
func (o *Owned) checkRun(attempt *Attempt) {
	job := o.ByID[attempt.Task.Job]
	m := o.table.Machines[attempt.Machine]
	if job == nil || job.Placed[attempt.Task] != attempt || !attempt.running || attempt.Stopping || m == nil || m.Epoch != attempt.Epoch {
		return
	}
	median, ok := job.MedianRunSeconds()
	lateAt := attempt.runningSince + lateThreshold(median)
	switch {
	case !ok || !o.observesTaskEnds(m): // the task can't be assessed yet
		heap.Push(&o.runDeadlines, runDeadline{o.After(runRecheckDelay), attempt})
	case lateAt > o.Now:
		heap.Push(&o.runDeadlines, runDeadline{lateAt, attempt})
	default:
		// A single task that runs for far too long is sufficient evidence, so it is counted a
		// second time after the second threshold.
		if lateAgain := attempt.runningSince + lateThreshold(lateRunFactor*median); lateAgain > o.Now {
			heap.Push(&o.runDeadlines, runDeadline{lateAgain, attempt})
		}
		o.countLateRun(m)
	}
}

// observesTaskEnds reports whether this controller would have observed the ends of tasks on a
// machine: it has received the machine's inventory, the dispatcher's last update is at most
// maxStateAgeUpdates replication intervals old, and the machine's heartbeats are not overdue.
func (o *Owned) observesTaskEnds(m *waittable.Machine) bool {
	return !o.AwaitedInventories[m.ID] && o.table.IsStateRecent(m, maxStateAgeUpdates*o.Operator.ReplicationInterval) && m.State.Silence == message.SilenceNone
}

// countLateRun counts a late task against its machine. Once the machine has minLateRuns of
// them, it asks the dispatcher to drain the machine, so that no more tasks are placed there,
// and kills the tasks of arrays there that can resume from a checkpoint. It drains no machine
// while more than one in drainingMachineDivisor is draining.
func (o *Owned) countLateRun(m *waittable.Machine) {
	if o.Since(m.LastLateRun) > lateRunExpiry {
		m.LateRuns = 0
	}
	m.LateRuns, m.LastLateRun = m.LateRuns+1, o.Now
	if m.LateRuns < minLateRuns || m.State.Draining || o.tooManyDraining() {
		return
	}
	m.State.Draining = true // set before the dispatcher publishes it
	o.Log.Info("machine runs its tasks slowly: draining it", "machine", m.ID)
	o.Send(o.DispatcherOf(m.ID), message.PeerMessage{Drain: &m.ID})
	for _, attempt := range ordered.Tasks(o.AttemptsByMachine[m.ID]) {
		if job := o.ByID[attempt.Task.Job]; job != nil && job.Kind == protocol.KindJobArray && job.CheckpointS > 0 {
			o.SendStop(attempt, true, clusterstate.GraceS(&job.Job)) // the task resumes on another machine from its checkpoint
		}
	}
}

// tooManyDraining reports whether more than one in drainingMachineDivisor of all registered
// machines is draining.
func (o *Owned) tooManyDraining() bool {
	draining := 0
	for _, other := range o.table.Machines {
		if other.State.Draining {
			draining++
		}
	}
	return draining*drainingMachineDivisor > len(o.table.Machines)
}

// resetLateRuns resets the count of a machine's late tasks if a task finished there in less
// than the median run time.
func (o *Owned) resetLateRuns(job *Job, attempt *Attempt) {
	if m := o.table.Machines[attempt.Machine]; m != nil && attempt.running {
		if median, ok := job.MedianRunSeconds(); ok && !attempt.startUnseen && o.Since(attempt.runningSince).Seconds() < median {
			m.LateRuns = 0
		}
	}
}
