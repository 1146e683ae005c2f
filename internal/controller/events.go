package controller

import (
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
)

// taskEvent takes what a keeper says of an attempt.
func (c *Core) taskEvent(e message.TaskEvent) {
	o := c.owner.jobs[e.Task.Job]
	if o == nil && (e.What == message.EventEnded || e.What == message.EventReleased) {
		delete(c.owner.endedAttempts, e.TaskRef)
		c.owner.placementDue = true
	}
	if o == nil || e.Task.Index >= o.Tasks {
		return
	}
	t := o.placed[e.Task]
	mine := t != nil && t.number == e.Attempt && t.machine == e.Machine
	switch e.What {
	case message.EventReleased:
		if !mine {
			return
		}
		if !t.stopping && !t.releaseAsked {
			// Refused by the keeper, which knows something of the machine
			// that the table does not: not again before its next summary.
			if m := c.machines[t.machine]; m != nil {
				m.refused = true
			}
		}
		if c.refillable(o, t) {
			c.removeAttempt(o, t)
			o.pending.Set(uint(t.task.Index))
			c.owner.placementDue = true
			return
		}
		c.attemptLost(o, t)
	case message.EventPresent, message.EventRunning:
		if mine {
			c.markStarted(o, t, e.What == message.EventRunning)
		} else if o.loaded && !o.unverified {
			c.refuseUnknownAttempt(e)
		}
	case message.EventNotice:
		if mine {
			c.terminationNotice(o, t, e.LeftS)
		}
	case message.EventEnded:
		c.taskEnded(o, t, mine, e)
		if c.leaving {
			return // listed until its next owner has taken it: the bitmap may not be written any more
		}
		c.Send(c.DispatcherOf(e.Machine), message.PeerMessage{Forget: &message.TaskRef{Task: e.Task, Attempt: e.Attempt, Machine: e.Machine}})
	}
}

// refuseUnknownAttempt has an attempt killed that this owner never placed or has
// already taken for gone.
func (c *Core) refuseUnknownAttempt(e message.TaskEvent) {
	c.Log.Error("an attempt runs that is not the present one", "task", e.Task, "attempt", e.Attempt, "machine", e.Machine)
	c.sendStop(&attempt{task: e.Task, number: e.Attempt, machine: e.Machine}, true, 0)
}

func (c *Core) markStarted(o *ownedJob, t *attempt, running bool) {
	if !t.started {
		o.waiting--
	}
	t.started, t.releaseAsked = true, false
	if running && !t.running {
		t.running, t.runningSince = true, c.Now
		o.running++
		c.ownedChanges.Touch(o.ID)
		c.watchRun(o, t)
	}
}

// terminationNotice moves a task off a machine that is about to be taken. One that
// can't save goes on if it may finish in time: else what it does until then is
// time lost for its next attempt.
func (c *Core) terminationNotice(o *ownedJob, t *attempt, leftS float64) {
	if o.Kind == protocol.KindGang {
		for _, other := range ordered.Tasks(o.placed) {
			c.sendStop(other, true, clusterstate.GraceS(&o.Job))
		}
		return
	}
	if o.CheckpointS > 0 || o.Kind == protocol.KindService {
		c.sendStop(t, true, clusterstate.GraceS(&o.Job))
		return
	}
	ran := 0.0
	if t.running {
		ran = c.Since(t.runningSince).Seconds()
	}
	if t.estimate-ran > leftS {
		c.sendStop(t, true, 0)
	}
}

func (c *Core) taskEnded(o *ownedJob, t *attempt, mine bool, e message.TaskEvent) {
	if e.Cause == protocol.EndDone && o.Kind != protocol.KindService {
		c.markTaskDone(o, e.Task.Index)
		if mine {
			c.recordRunTime(o, t)
			c.clearLateRuns(o, t)
			c.removeAttempt(o, t)
		} else if t != nil {
			c.sendStop(t, true, 0)
		}
		if o.Kind == protocol.KindGang {
			for i := range o.Tasks {
				c.markTaskDone(o, i) // they complete together
			}
		}
		c.finishIfDone(o)
		c.owner.placementDue = true
		return
	}
	if !mine {
		return
	}
	switch e.Cause {
	case protocol.EndError:
		c.attemptFailed(o, t)
	case protocol.EndUnknown:
		o.notBefore = c.After(2 * time.Second)
	case protocol.EndFull, protocol.EndInUse:
		if m := c.machines[e.Machine]; m != nil {
			m.refused = true
		}
	}
	c.Log.Debug("attempt ended", "task", e.Task, "cause", e.Cause, "saved", e.Saved, "machine", e.Machine)
	c.attemptLost(o, t)
}
