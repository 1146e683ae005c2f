package controller

import (
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
)

// taskEvent takes what a keeper says of an attempt.
func (oj *ownedJobs) taskEvent(e message.TaskEvent) {
	o := oj.byID[e.Task.Job]
	if o == nil && (e.What == message.EventEnded || e.What == message.EventReleased) {
		delete(oj.endedAttempts, e.TaskRef)
		oj.table.placementDue = true
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
			if m := oj.table.machines[t.machine]; m != nil {
				m.refused = true
			}
		}
		if oj.refillable(o, t) {
			oj.removeAttempt(o, t)
			o.pending.Set(uint(t.task.Index))
			oj.table.placementDue = true
			return
		}
		oj.attemptLost(o, t)
	case message.EventPresent, message.EventRunning:
		if mine {
			oj.markStarted(o, t, e.What == message.EventRunning)
		} else if o.loaded && !o.unverified {
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
func (oj *ownedJobs) refuseUnknownAttempt(e message.TaskEvent) {
	oj.Log.Error("an attempt runs that is not the present one", "task", e.Task, "attempt", e.Attempt, "machine", e.Machine)
	oj.sendStop(&attempt{task: e.Task, number: e.Attempt, machine: e.Machine}, true, 0)
}

func (oj *ownedJobs) markStarted(o *ownedJob, t *attempt, running bool) {
	if !t.started {
		o.waiting--
	}
	t.started, t.releaseAsked = true, false
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
func (oj *ownedJobs) terminationNotice(o *ownedJob, t *attempt, leftS float64) {
	if o.Kind == protocol.KindGang {
		for _, other := range ordered.Tasks(o.placed) {
			oj.sendStop(other, true, clusterstate.GraceS(&o.Job))
		}
		return
	}
	if o.CheckpointS > 0 || o.Kind == protocol.KindService {
		oj.sendStop(t, true, clusterstate.GraceS(&o.Job))
		return
	}
	ran := 0.0
	if t.running {
		ran = oj.Since(t.runningSince).Seconds()
	}
	if t.estimate-ran > leftS {
		oj.sendStop(t, true, 0)
	}
}

func (oj *ownedJobs) taskEnded(o *ownedJob, t *attempt, mine bool, e message.TaskEvent) {
	if e.Cause == protocol.EndDone && o.Kind != protocol.KindService {
		oj.markTaskDone(o, e.Task.Index)
		if mine {
			oj.recordRunTime(o, t)
			oj.clearLateRuns(o, t)
			oj.removeAttempt(o, t)
		} else if t != nil {
			oj.sendStop(t, true, 0)
		}
		if o.Kind == protocol.KindGang {
			for i := range o.Tasks {
				oj.markTaskDone(o, i) // they complete together
			}
		}
		oj.finishIfDone(o)
		oj.table.placementDue = true
		return
	}
	if !mine {
		return
	}
	switch e.Cause {
	case protocol.EndError:
		oj.attemptFailed(o, t)
	case protocol.EndUnknown:
		o.notBefore = oj.After(2 * time.Second)
	case protocol.EndFull, protocol.EndInUse:
		if m := oj.table.machines[e.Machine]; m != nil {
			m.refused = true
		}
	}
	oj.Log.Debug("attempt ended", "task", e.Task, "cause", e.Cause, "saved", e.Saved, "machine", e.Machine)
	oj.attemptLost(o, t)
}
