package jobs

import (
	"cmp"
	"container/heap"
	"time"

	"damsonkeel/internal/controller/waittable"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
)

// Slow machines are told from tasks that run long by the other tasks of the
// same job: these are alike within a factor.
const (
	// slowFactor is how many times as long as usual a task may run.
	slowFactor = 1.6
	// slowTasks is how many tasks beyond that speak against their machine, or one
	// that runs as many times longer still.
	slowTasks = 2
	// slowMemory is how long one of them counts.
	slowMemory = time.Minute
	// slowDelay is what reports of starts and ends may differ by in their delay.
	slowDelay = 2 * time.Second
	// slowTaskFraction: no more than one in so many machines is given up at a time.
	// Where more seem slow, something else is.
	slowTaskFraction = 10
	// slowChecks bounds the tasks looked at in one step.
	slowChecks = 500
)

// overdue is a running task to be looked at, if it still runs then.
type runDeadline struct {
	at clock.Time
	t  *Attempt
}

type runDeadlines []runDeadline

func (h runDeadlines) Len() int { return len(h) }
func (h runDeadlines) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].t.Number, h[j].t.Number)) < 0
}
func (h runDeadlines) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *runDeadlines) Push(x any) { *h = append(*h, x.(runDeadline)) }

// Pop is part of heap.Interface.
func (h *runDeadlines) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// lateThreshold is how long a task may run whose like take a time.
func lateThreshold(usualS float64) clock.Time {
	return clock.Time(slowFactor*usualS*float64(time.Second)) + clock.Time(slowDelay)
}

// watchRun has a task that runs looked at when it should be done.
func (oj *Owned) watchRun(o *Job, t *Attempt) {
	if o.Kind == protocol.KindJobArray {
		heap.Push(&oj.runWatch, runDeadline{t.runningSince + lateThreshold(oj.EstimateOf(o)), t})
	}
}

// WatchSlow looks at the tasks that run longer than the others of their job,
// and gives up the machines of which several do.
func (oj *Owned) WatchSlow() {
	h := &oj.runWatch
	for range slowChecks {
		if len(*h) == 0 || (*h)[0].at > oj.Now {
			return
		}
		t := heap.Pop(h).(runDeadline).t
		o := oj.ByID[t.Task.Job]
		m := oj.table.Machines[t.Machine]
		if o == nil || o.Placed[t.Task] != t || !t.running || t.Stopping || m == nil || m.Epoch != t.Epoch {
			continue
		}
		usual, ok := o.UsualSeconds()
		switch late := t.runningSince + lateThreshold(usual); {
		case !ok || oj.AwaitedInventories[m.ID] || !oj.table.Recent(m, 3*oj.Op.RelayEvery) || m.Reported.Silence != message.SilenceNone:
			heap.Push(h, runDeadline{oj.After(5 * time.Second), t}) // nothing can be said yet
		case late > oj.Now:
			heap.Push(h, runDeadline{late, t})
		default:
			// One that goes on for far too long speaks for itself: it counts
			// once more then.
			if again := t.runningSince + lateThreshold(slowFactor*usual); again > oj.Now {
				heap.Push(h, runDeadline{again, t})
			}
			oj.countLateRun(m)
		}
	}
}

// countLateRun counts a task that runs too long against its machine.
func (oj *Owned) countLateRun(m *waittable.Machine) {
	if oj.Since(m.LastLateRun) > slowMemory {
		m.LateRuns = 0
	}
	m.LateRuns, m.LastLateRun = m.LateRuns+1, oj.Now
	if m.LateRuns < slowTasks || m.Reported.Draining {
		return
	}
	draining := 0
	for _, other := range oj.table.Machines {
		if other.Reported.Draining {
			draining++
		}
	}
	if draining*slowTaskFraction > len(oj.table.Machines) {
		return
	}
	m.Reported.Draining = true // at once, though its keeper has not said so yet
	oj.Log.Info("machine runs its tasks slowly: giving it up", "machine", m.ID)
	oj.Send(oj.DispatcherOf(m.ID), message.PeerMessage{Drain: &m.ID})
	for _, t := range ordered.Tasks(oj.AttemptsOn[m.ID]) {
		if o := oj.ByID[t.Task.Job]; o != nil && o.Kind == protocol.KindJobArray && o.CheckpointS > 0 {
			oj.SendStop(t, true, clusterstate.GraceS(&o.Job)) // goes on elsewhere from what it saves
		}
	}
}

// clearLateRuns takes back what was held against a machine.
func (oj *Owned) clearLateRuns(o *Job, t *Attempt) {
	if m := oj.table.Machines[t.Machine]; m != nil && t.running {
		if usual, ok := o.UsualSeconds(); ok && !t.startUnseen && oj.Since(t.runningSince).Seconds() < usual {
			m.LateRuns = 0
		}
	}
}
