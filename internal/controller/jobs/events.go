package jobs

import (
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
)

// TaskEvent takes what a keeper says of an attempt.
func (oj *Owned) TaskEvent(e message.TaskEvent) {
	o := oj.ByID[e.Task.Job]
	if o == nil && (e.What == message.EventEnded || e.What == message.EventReleased) {
		delete(oj.EndedAttempts, e.TaskRef)
		oj.table.PlacementDue = true
	}
	if o == nil || e.Task.Index >= o.Tasks {
		return
	}
	t := o.Placed[e.Task]
	mine := t != nil && t.Number == e.Attempt && t.Machine == e.Machine
	switch e.What {
	case message.EventReleased:
		if !mine {
			return
		}
		if !t.Stopping && !t.ReleaseAsked {
			// Refused by the keeper, which knows something of the machine
			// that the table does not: not again before its next summary.
			if m := oj.table.Machines[t.Machine]; m != nil {
				m.Refused = true
			}
		}
		if oj.refillable(o, t) {
			oj.RemoveAttempt(o, t)
			o.Pending.Set(uint(t.Task.Index))
			oj.table.PlacementDue = true
			return
		}
		oj.attemptLost(o, t)
	case message.EventPresent, message.EventRunning:
		if mine {
			oj.markStarted(o, t, e.What == message.EventRunning)
		} else if o.Loaded && !o.Unverified {
			oj.refuseUnknownAttempt(e)
		}
	case message.EventNotice:
		if mine {
			oj.terminationNotice(o, t, e.LeftS)
		}
	case message.EventEnded:
		oj.taskEnded(o, t, mine, e)
		if oj.Leaving {
			return // listed until its next owner has taken it: the bitmap may not be written any more
		}
		oj.Send(oj.DispatcherOf(e.Machine), message.PeerMessage{Forget: &message.TaskRef{Task: e.Task, Attempt: e.Attempt, Machine: e.Machine}})
	}
}

// refuseUnknownAttempt has an attempt killed that this owner never placed or has
// already taken for gone.
func (oj *Owned) refuseUnknownAttempt(e message.TaskEvent) {
	oj.Log.Error("an attempt runs that is not the present one", "task", e.Task, "attempt", e.Attempt, "machine", e.Machine)
	oj.SendStop(&Attempt{Task: e.Task, Number: e.Attempt, Machine: e.Machine}, true, 0)
}

func (oj *Owned) markStarted(o *Job, t *Attempt, running bool) {
	if !t.Started {
		o.Waiting--
	}
	t.Started, t.ReleaseAsked = true, false
	if running && !t.running {
		t.running, t.runningSince = true, oj.Now
		o.running++
		oj.ownedChanges.Touch(o.ID)
		oj.watchRun(o, t)
	}
}

// terminationNotice moves a task off a machine that is about to be taken. One that
// can't save goes on if it may finish in time: else what it does until then is
// time lost for its next attempt.
func (oj *Owned) terminationNotice(o *Job, t *Attempt, leftS float64) {
	if o.Kind == protocol.KindGang {
		for _, other := range ordered.Tasks(o.Placed) {
			oj.SendStop(other, true, clusterstate.GraceS(&o.Job))
		}
		return
	}
	if o.CheckpointS > 0 || o.Kind == protocol.KindService {
		oj.SendStop(t, true, clusterstate.GraceS(&o.Job))
		return
	}
	ran := 0.0
	if t.running {
		ran = oj.Since(t.runningSince).Seconds()
	}
	if t.Estimate-ran > leftS {
		oj.SendStop(t, true, 0)
	}
}

func (oj *Owned) taskEnded(o *Job, t *Attempt, mine bool, e message.TaskEvent) {
	if e.Cause == protocol.EndDone && o.Kind != protocol.KindService {
		oj.markTaskDone(o, e.Task.Index)
		if mine {
			oj.recordRunTime(o, t)
			oj.clearLateRuns(o, t)
			oj.RemoveAttempt(o, t)
		} else if t != nil {
			oj.SendStop(t, true, 0)
		}
		if o.Kind == protocol.KindGang {
			for i := range o.Tasks {
				oj.markTaskDone(o, i) // they complete together
			}
		}
		oj.finishIfDone(o)
		oj.table.PlacementDue = true
		return
	}
	if !mine {
		return
	}
	switch e.Cause {
	case protocol.EndError:
		oj.attemptFailed(o, t)
	case protocol.EndUnknown:
		o.NotBefore = oj.After(2 * time.Second)
	case protocol.EndFull, protocol.EndInUse:
		if m := oj.table.Machines[e.Machine]; m != nil {
			m.Refused = true
		}
	}
	oj.Log.Debug("attempt ended", "task", e.Task, "cause", e.Cause, "saved", e.Saved, "machine", e.Machine)
	oj.attemptLost(o, t)
}
