package controller

import (
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
)

// event takes what a keeper says of an attempt.
func (c *Core) event(e message.TaskEvent) {
	o := c.owner.jobs[e.Task.Job]
	if o == nil && (e.What == message.WhatEnded || e.What == message.WhatReleased) {
		delete(c.owner.leaving, e.TaskRef)
		c.owner.dirty = true
	}
	if o == nil || e.Task.Index >= o.Tasks {
		return
	}
	t := o.placed[e.Task]
	mine := t != nil && t.attempt == e.Attempt && t.machine == e.Machine
	switch e.What {
	case message.WhatReleased:
		if !mine {
			return
		}
		if !t.stopping && !t.moving {
			// Refused by the keeper, which knows something of the machine
			// that the table does not: not again before its next summary.
			if m := c.machines[t.machine]; m != nil {
				m.refused = true
			}
		}
		if c.refillable(o, t) {
			c.unplace(o, t)
			o.pending.Set(uint(t.task.Index))
			c.owner.dirty = true
			return
		}
		c.gone(o, t)
	case message.WhatPresent, message.WhatRunning:
		if mine {
			c.markStarted(o, t, e.What == message.WhatRunning)
		} else if o.loaded && !o.unknown {
			c.refuseStray(e)
		}
	case message.WhatNotice:
		if mine {
			c.noticed(o, t, e.LeftS)
		}
	case message.WhatEnded:
		c.taskEnded(o, t, mine, e)
		if c.leaving {
			return // listed until its next owner has taken it: the bitmap may not be written any more
		}
		c.Send(c.Keeper(e.Machine), message.PeerMessage{Forget: &message.TaskRef{Task: e.Task, Attempt: e.Attempt, Machine: e.Machine}})
	}
}

// refuseStray has an attempt killed that this owner never placed or has
// already taken for gone.
func (c *Core) refuseStray(e message.TaskEvent) {
	c.Log.Error("an attempt runs that is not the present one", "task", e.Task, "attempt", e.Attempt, "machine", e.Machine)
	c.askStop(&placedTask{task: e.Task, attempt: e.Attempt, machine: e.Machine}, true, 0)
}

func (c *Core) markStarted(o *ownedJob, t *placedTask, running bool) {
	if !t.started {
		o.waits--
	}
	t.started, t.moving = true, false
	if running && !t.running {
		t.running, t.runs = true, c.Now
		o.running++
		c.ownedChanged.Touch(o.ID)
		c.watchRun(o, t)
	}
}

// noticed moves a task off a machine that is about to be taken. One that
// can't save goes on if it may finish in time: else what it does until then is
// time lost for its next attempt.
func (c *Core) noticed(o *ownedJob, t *placedTask, leftS float64) {
	if o.Kind == protocol.KindGang {
		for _, other := range ordered.Tasks(o.placed) {
			c.askStop(other, true, clusterstate.GraceS(&o.Job))
		}
		return
	}
	if o.CheckpointS > 0 || o.Kind == protocol.KindService {
		c.askStop(t, true, clusterstate.GraceS(&o.Job))
		return
	}
	ran := 0.0
	if t.running {
		ran = c.Since(t.runs).Seconds()
	}
	if t.estimate-ran > leftS {
		c.askStop(t, true, 0)
	}
}

func (c *Core) taskEnded(o *ownedJob, t *placedTask, mine bool, e message.TaskEvent) {
	if e.Cause == protocol.EndDone && o.Kind != protocol.KindService {
		c.markDone(o, e.Task.Index)
		if mine {
			c.noteRun(o, t)
			c.runsWell(o, t)
			c.unplace(o, t)
		} else if t != nil {
			c.askStop(t, true, 0)
		}
		if o.Kind == protocol.KindGang {
			for i := range o.Tasks {
				c.markDone(o, i) // they complete together
			}
		}
		c.checkDone(o)
		c.owner.dirty = true
		return
	}
	if !mine {
		return
	}
	switch e.Cause {
	case protocol.EndError:
		c.failed(o, t)
	case protocol.EndUnknown:
		o.notBefore = c.After(2 * time.Second)
	case protocol.EndFull, protocol.EndInUse:
		if m := c.machines[e.Machine]; m != nil {
			m.refused = true
		}
	}
	c.Log.Debug("attempt ended", "task", e.Task, "cause", e.Cause, "saved", e.Saved, "machine", e.Machine)
	c.gone(o, t)
}
