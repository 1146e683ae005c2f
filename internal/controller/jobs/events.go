package jobs

import (
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// retryAfterUnknown is how long a job waits after an attempt ended for an unknown cause.
const retryAfterUnknown = 2 * time.Second

// HandleTaskEvent handles what a dispatcher reports of an attempt.
func (o *Owned) HandleTaskEvent(event message.TaskEvent) {
	job := o.ByID[event.Task.Job]
	if job == nil {
		if event.What == message.EventEnded || event.What == message.EventReleased {
			delete(o.EndedAttempts, event.TaskRef)
			o.table.PlacementDue = true
		}
		return
	}
	if event.Task.Index >= job.Tasks {
		return
	}
	attempt := job.Placed[event.Task]
	current := attempt != nil && attempt.ref() == event.TaskRef
	switch {
	case event.What == message.EventEnded:
		o.attemptEnded(job, attempt, current, event)
		o.forgetEnded(event.TaskRef)
	case current:
		o.currentAttemptEvent(job, attempt, event)
	case event.What == message.EventPresent || event.What == message.EventRunning:
		if job.Loaded && !job.Unverified {
			o.killUnknownAttempt(event)
		}
	}
}

// forgetEnded has a worker drop the end of an attempt from its status: it has been handled.
// While this controller leaves it stays listed until the next owner has handled it, since
// the bitmap may not be written any more.
func (o *Owned) forgetEnded(ref message.TaskRef) {
	if !o.Leaving {
		o.Send(o.DispatcherOf(ref.Machine), message.PeerMessage{Forget: &ref})
	}
}

// currentAttemptEvent handles an event, other than the end, of the current attempt of a
// task.
func (o *Owned) currentAttemptEvent(job *Job, attempt *Attempt, event message.TaskEvent) {
	switch event.What {
	case message.EventReleased:
		o.attemptReleased(job, attempt)
	case message.EventPresent, message.EventRunning:
		o.markStarted(job, attempt, event.What == message.EventRunning)
	case message.EventNotice:
		o.terminationNotice(job, attempt, event.LeftS)
	}
}

// attemptReleased handles an attempt that its dispatcher has given back without having
// sent it to the worker.
func (o *Owned) attemptReleased(job *Job, attempt *Attempt) {
	if !attempt.Stopping && !attempt.ReleaseAsked {
		// Refused by the dispatcher, which knows something of the machine that the
		// waittable does not show: no more attempts before its next update.
		o.markRefused(attempt.Machine)
	}
	if job.refillable(attempt) {
		o.RemoveAttempt(job, attempt)
		job.Pending.Set(uint(attempt.Task.Index))
		o.table.PlacementDue = true
		return
	}
	o.attemptLost(job, attempt)
}

// markRefused has nothing placed on a machine before its dispatcher's next update.
func (o *Owned) markRefused(id protocol.MachineID) {
	if m := o.table.Machines[id]; m != nil {
		m.Refused = true
	}
}

// killUnknownAttempt has an attempt killed that this owner has never placed or has already
// taken to be lost.
func (o *Owned) killUnknownAttempt(event message.TaskEvent) {
	o.Log.Error("an attempt runs that is not the present one", "task", event.Task, "attempt", event.Attempt, "machine", event.Machine)
	o.SendStop(&Attempt{Task: event.Task, Number: event.Attempt, Machine: event.Machine}, true, 0)
}

// markStarted records that an attempt has been sent to its worker, and that it runs.
func (o *Owned) markStarted(job *Job, attempt *Attempt, running bool) {
	if !attempt.Started {
		job.Unstarted--
	}
	attempt.Started, attempt.ReleaseAsked = true, false
	if running && !attempt.running {
		attempt.running, attempt.runningSince = true, o.Now
		job.running++
		o.changes.Touch(job.ID)
		o.watchRun(job, attempt)
	}
}

// terminationNotice moves a task off a machine that the cloud is about to take. A task
// that can't save a checkpoint goes on if it may finish in time: otherwise what it does
// until then only delays its next attempt.
func (o *Owned) terminationNotice(job *Job, attempt *Attempt, secondsLeft float64) {
	if job.Kind == protocol.KindGang {
		o.StopAll(job)
		return
	}
	if job.CheckpointS > 0 || job.Kind == protocol.KindService {
		o.SendStop(attempt, true, clusterstate.GraceS(&job.Job))
		return
	}
	ran := 0.0
	if attempt.running {
		ran = o.Since(attempt.runningSince).Seconds()
	}
	if attempt.Estimate-ran > secondsLeft {
		o.SendStop(attempt, true, 0)
	}
}

// attemptEnded handles the end of an attempt, which may not be the current one of its task.
func (o *Owned) attemptEnded(job *Job, attempt *Attempt, current bool, event message.TaskEvent) {
	if event.Cause == protocol.EndDone && job.Kind != protocol.KindService {
		o.attemptDone(job, attempt, current, event.Task.Index)
		return
	}
	if !current {
		return
	}
	switch event.Cause {
	case protocol.EndError:
		o.attemptFailed(job, attempt)
	case protocol.EndUnknown:
		job.NotBefore = o.After(retryAfterUnknown)
	case protocol.EndFull, protocol.EndInUse:
		o.markRefused(event.Machine)
	}
	o.Log.Debug("attempt ended", "task", event.Task, "cause", event.Cause, "saved", event.Saved, "machine", event.Machine)
	o.attemptLost(job, attempt)
}

// attemptDone handles the successful end of an attempt. If it was not the current one, that
// one is killed: the task is done.
func (o *Owned) attemptDone(job *Job, attempt *Attempt, current bool, index uint32) {
	o.markTaskDone(job, index)
	if current {
		o.recordRunTime(job, attempt)
		o.clearLateRuns(job, attempt)
		o.RemoveAttempt(job, attempt)
	} else if attempt != nil {
		o.SendStop(attempt, true, 0)
	}
	if job.Kind == protocol.KindGang {
		for i := range job.Tasks {
			o.markTaskDone(job, i) // they complete together
		}
	}
	o.finishIfDone(job)
	o.table.PlacementDue = true
}
