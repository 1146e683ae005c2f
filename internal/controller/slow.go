package controller

import (
	"cmp"
	"container/heap"
	"time"

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
	// slowShare: no more than one in so many machines is given up at a time.
	// Where more seem slow, something else is.
	slowShare = 10
	// slowChecks bounds the tasks looked at in one step.
	slowChecks = 500
)

// overdue is a running task to be looked at, if it still runs then.
type overdue struct {
	at Time
	t  *placedTask
}

type overdues []overdue

func (h overdues) Len() int { return len(h) }
func (h overdues) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].t.attempt, h[j].t.attempt)) < 0
}
func (h overdues) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *overdues) Push(x any) { *h = append(*h, x.(overdue)) }

// Pop is part of heap.Interface.
func (h *overdues) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// tooLong is how long a task may run whose like take a time.
func tooLong(usualS float64) Time {
	return Time(slowFactor*usualS*float64(time.Second)) + Time(slowDelay)
}

// watchRun has a task that runs looked at when it should be done.
func (c *Core) watchRun(o *ownedJob, t *placedTask) {
	if o.Kind == protocol.KindArray {
		heap.Push(&c.owner.overdue, overdue{t.runs + tooLong(c.estimateOf(o)), t})
	}
}

// watchSlow looks at the tasks that run longer than the others of their job,
// and gives up the machines of which several do.
func (c *Core) watchSlow() {
	h := &c.owner.overdue
	for range slowChecks {
		if len(*h) == 0 || (*h)[0].at > c.Now {
			return
		}
		t := heap.Pop(h).(overdue).t
		o := c.owner.jobs[t.task.Job]
		m := c.machines[t.machine]
		if o == nil || o.placed[t.task] != t || !t.running || t.stopping || m == nil || m.Epoch != t.epoch {
			continue
		}
		usual, ok := o.usual()
		switch late := t.runs + tooLong(usual); {
		case !ok || c.owner.pending[m.ID] || !c.recent(m, 3*c.Op.RelayEvery) || m.reported.Silence != message.SilenceNone:
			heap.Push(h, overdue{c.After(5 * time.Second), t}) // nothing can be said yet
		case late > c.Now:
			heap.Push(h, overdue{late, t})
		default:
			// One that goes on for far too long speaks for itself: it counts
			// once more then.
			if again := t.runs + tooLong(slowFactor*usual); again > c.Now {
				heap.Push(h, overdue{again, t})
			}
			c.runsLate(m)
		}
	}
}

// runsLate counts a task that runs too long against its machine.
func (c *Core) runsLate(m *machineEntry) {
	if c.Since(m.lateAt) > slowMemory {
		m.late = 0
	}
	m.late, m.lateAt = m.late+1, c.Now
	if m.late < slowTasks || m.reported.Draining {
		return
	}
	draining := 0
	for _, other := range c.machines {
		if other.reported.Draining {
			draining++
		}
	}
	if draining*slowShare > len(c.machines) {
		return
	}
	m.reported.Draining = true // at once, though its keeper has not said so yet
	c.Log.Info("machine runs its tasks slowly: giving it up", "machine", m.ID)
	c.Send(c.Keeper(m.ID), message.PeerMessage{Drain: &m.ID})
	for _, t := range ordered.Tasks(m.mine) {
		if o := c.owner.jobs[t.task.Job]; o != nil && o.Kind == protocol.KindArray && o.CheckpointS > 0 {
			c.askStop(t, true, clusterstate.GraceS(&o.Job)) // goes on elsewhere from what it saves
		}
	}
}

// runsWell takes back what was held against a machine.
func (c *Core) runsWell(o *ownedJob, t *placedTask) {
	if m := c.machines[t.machine]; m != nil && t.running {
		if usual, ok := o.usual(); ok && !t.midway && c.Since(t.runs).Seconds() < usual {
			m.late = 0
		}
	}
}
