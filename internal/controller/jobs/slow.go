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

// Slow machines are detected by tasks that run far longer than the others of the same job:
// these take about the same time.
const (
	// slowFactor is how many times the usual time a task may run.
	slowFactor = 1.6
	// slowTasks is how many late tasks show that their machine is slow; a task that is
	// late by slowFactor once more counts twice.
	slowTasks = 2
	// slowMemory is how long a late task counts.
	slowMemory = time.Minute
	// slowDelay is by how much the delays of the reports of a start and an end may differ.
	slowDelay = 2 * time.Second
	// slowTaskFraction limits the machines drained at a time to one in so many. Where
	// more seem slow, the cause is another.
	slowTaskFraction = 10
	// slowChecks bounds the tasks checked in one step.
	slowChecks = 500
	// slowRecheck is when a task is checked again of which nothing can be said yet.
	slowRecheck = 5 * time.Second
	// recentUpdates is how many intervals of updates old the state of a machine may be to
	// be used.
	recentUpdates = 3
)

// runDeadline is when a running task is to be checked, if it still runs then.
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

// lateThreshold returns how long a task may run if the usual time is given in seconds.
func lateThreshold(usualSeconds float64) clock.Time {
	return clock.Time(slowFactor*usualSeconds*float64(time.Second)) + clock.Time(slowDelay)
}

// watchRun has a running task checked when it should be done.
func (o *Owned) watchRun(job *Job, attempt *Attempt) {
	if job.Kind == protocol.KindJobArray {
		heap.Push(&o.runWatch, runDeadline{attempt.runningSince + lateThreshold(o.EstimateOf(job)), attempt})
	}
}

// WatchSlow checks the tasks that run longer than the others of their job, and drains the
// machines on which several do.
func (o *Owned) WatchSlow() {
	watch := &o.runWatch
	for range slowChecks {
		if len(*watch) == 0 || (*watch)[0].at > o.Now {
			return
		}
		o.checkRun(heap.Pop(watch).(runDeadline).attempt)
	}
}

// checkRun checks whether a task runs too long, and when it is to be checked again.
func (o *Owned) checkRun(attempt *Attempt) {
	job := o.ByID[attempt.Task.Job]
	m := o.table.Machines[attempt.Machine]
	if job == nil || job.Placed[attempt.Task] != attempt || !attempt.running || attempt.Stopping || m == nil || m.Epoch != attempt.Epoch {
		return
	}
	usual, ok := job.MedianRunSeconds()
	lateAt := attempt.runningSince + lateThreshold(usual)
	switch {
	case !ok || !o.stateKnown(m): // nothing can be said yet
		heap.Push(&o.runWatch, runDeadline{o.After(slowRecheck), attempt})
	case lateAt > o.Now:
		heap.Push(&o.runWatch, runDeadline{lateAt, attempt})
	default:
		// A task that goes on for far too long is proof enough: it counts once more then.
		if lateAgain := attempt.runningSince + lateThreshold(slowFactor*usual); lateAgain > o.Now {
			heap.Push(&o.runWatch, runDeadline{lateAgain, attempt})
		}
		o.countLateRun(m)
	}
}

// stateKnown reports whether the ends of a machine's tasks would be known here: it has sent
// its inventory, its dispatcher's updates are recent, and it has not fallen silent.
func (o *Owned) stateKnown(m *waittable.Machine) bool {
	return !o.AwaitedInventories[m.ID] && o.table.Recent(m, recentUpdates*o.Op.ReplicationInterval) && m.State.Silence == message.SilenceNone
}

// countLateRun counts a task that runs too long against its machine, and drains the
// machine once there are several.
func (o *Owned) countLateRun(m *waittable.Machine) {
	if o.Since(m.LastLateRun) > slowMemory {
		m.LateRuns = 0
	}
	m.LateRuns, m.LastLateRun = m.LateRuns+1, o.Now
	if m.LateRuns < slowTasks || m.State.Draining || o.tooManyDraining() {
		return
	}
	m.State.Draining = true // at once: its dispatcher has not published it yet
	o.Log.Info("machine runs its tasks slowly: giving it up", "machine", m.ID)
	o.Send(o.DispatcherOf(m.ID), message.PeerMessage{Drain: &m.ID})
	for _, attempt := range ordered.Tasks(o.AttemptsOn[m.ID]) {
		if job := o.ByID[attempt.Task.Job]; job != nil && job.Kind == protocol.KindJobArray && job.CheckpointS > 0 {
			o.SendStop(attempt, true, clusterstate.GraceS(&job.Job)) // resumes elsewhere from its checkpoint
		}
	}
}

// tooManyDraining reports whether more than one in slowTaskFraction machines is draining.
func (o *Owned) tooManyDraining() bool {
	draining := 0
	for _, other := range o.table.Machines {
		if other.State.Draining {
			draining++
		}
	}
	return draining*slowTaskFraction > len(o.table.Machines)
}

// clearLateRuns resets the count of a machine's late tasks when a task took less than the
// usual time there.
func (o *Owned) clearLateRuns(job *Job, attempt *Attempt) {
	if m := o.table.Machines[attempt.Machine]; m != nil && attempt.running {
		if usual, ok := job.MedianRunSeconds(); ok && !attempt.startUnseen && o.Since(attempt.runningSince).Seconds() < usual {
			m.LateRuns = 0
		}
	}
}
