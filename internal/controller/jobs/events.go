package jobs

import (
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// retryAfterUnknown is how long no task of a job is placed after an attempt ended with
// protocol.EndUnknown: its worker found no description of the job.
const retryAfterUnknown = 2 * time.Second

// HandleTaskEvent handles a dispatcher's report about an attempt of an owned job. It handles
// each end of an attempt, and then has the worker remove the attempt from its status. Other
// events change only the current attempt of a task: the one in Job.Placed, with the same number
// and machine. An attempt that exists and is not the current one is killed, once the job's
// bitmap and all inventories have been received. For a job that is not owned here, an end or a
// release only drops the attempt from EndedJobAttempts.
func (o *Owned) HandleTaskEvent(event message.TaskEvent) {
	job := o.ByID[event.Task.Job]
	if job == nil {
		if event.What == message.EventEnded || event.What == message.EventReleased {
			delete(o.EndedJobAttempts, event.TaskRef)
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
		o.handleEndedAttempt(job, attempt, current, event)
		o.forgetEnded(event.TaskRef)
	case current:
		o.handleCurrentAttemptEvent(job, attempt, event)
	case event.What == message.EventPresent || event.What == message.EventRunning:
		if job.Loaded && !job.Unverified {
			o.killUnknownAttempt(job, event)
		}
	}
}

// forgetEnded asks a worker to remove an ended attempt from its status, after the end has
// been handled. While this controller is leaving, no such request is sent: the bitmap may not
// be written any more, so the end has to stay listed until the next owner has handled it.
func (o *Owned) forgetEnded(ref message.TaskRef) {
	if !o.Leaving {
		o.Send(o.DispatcherOf(ref.Machine), message.PeerMessage{Forget: &ref})
	}
}

// handleCurrentAttemptEvent handles an event, other than the end, of the current attempt of a
// task: its release, its start, or the notice that the cloud is about to reclaim its machine.
func (o *Owned) handleCurrentAttemptEvent(job *Job, attempt *Attempt, event message.TaskEvent) {
	switch event.What {
	case message.EventReleased:
		o.handleReleasedAttempt(job, attempt)
	case message.EventPresent, message.EventRunning:
		o.markStarted(job, attempt, event.What == message.EventRunning)
	case message.EventNotice:
		o.handleTerminationNotice(job, attempt, event.LeftS)
	}
}

// handleReleasedAttempt removes an attempt that its dispatcher has released without having sent
// it to the worker, and makes its task pending again. The other tasks of a gang are stopped,
// unless the released one can be placed again under its number (see Job.refillable). If no
// release was requested, the machine gets no further tasks until its next update.
func (o *Owned) handleReleasedAttempt(job *Job, attempt *Attempt) {
	if !attempt.Stopping && !attempt.ReleaseRequested {
		// The dispatcher refused the attempt because of a state of the machine that the
		// wait table does not show yet: nothing more is placed there before the
		// dispatcher's next update.
		o.markRefused(attempt.Machine)
	}
	if job.refillable(attempt) {
		o.RemoveAttempt(job, attempt)
		job.Pending.Set(uint(attempt.Task.Index))
		o.table.PlacementDue = true
		return
	}
	o.handleLostAttempt(job, attempt)
}

// markRefused excludes a machine from placement until its dispatcher's next update.
func (o *Owned) markRefused(id protocol.MachineID) {
	if m := o.table.Machines[id]; m != nil {
		m.PlacementRefused = true
	}
}

// killUnknownAttempt asks the dispatcher to kill an attempt that this owner never placed or
// has already dropped as lost.
func (o *Owned) killUnknownAttempt(job *Job, event message.TaskEvent) {
	attrs := []any{"task", event.Task, "attempt", event.Attempt, "machine", event.Machine, "event", event.What, "done", job.Done.Test(uint(event.Task.Index))}
	if current := job.Placed[event.Task]; current != nil {
		attrs = append(attrs, "current_attempt", current.Number, "current_machine", current.Machine, "current_started", current.Started)
	}
	o.Log.Error("killing an attempt that is not the current one of its task", attrs...)
	o.SendStop(&Attempt{Task: event.Task, Number: event.Attempt, Machine: event.Machine}, true, 0)
}

// markStarted records that an attempt has been sent to its worker. If running is set, it also
// records that the attempt runs from now on and schedules its first check for a late task.
func (o *Owned) markStarted(job *Job, attempt *Attempt, running bool) {
	if !attempt.Started {
		job.Unstarted--
	}
	attempt.Started, attempt.ReleaseRequested = true, false
	if running && !attempt.running {
		attempt.running, attempt.runningSince = true, o.Now
		job.runningCount++
		o.changes.Touch(job.ID)
		o.scheduleRunCheck(job, attempt)
	}
}

// handleTerminationNotice kills an attempt on a machine that the cloud reclaims in secondsLeft,
// so that the task can run elsewhere. A task that saves checkpoints and a task of a service are
// killed with the job's grace period, and all attempts of a gang are. A task that can't save a
// checkpoint continues if its estimate says that it ends in time, and is killed at once
// otherwise: running until the reclaim would only delay its next attempt.
func (o *Owned) handleTerminationNotice(job *Job, attempt *Attempt, secondsLeft float64) {
	if job.Kind == protocol.KindGang {
		o.StopAttempts(job)
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

// handleEndedAttempt handles the end of an attempt, which may not be the current attempt of its
// task. After a success the task is done, except that of a service. After any other end of the
// current attempt, the task becomes pending again; an error counts as a failure of the job,
// protocol.EndUnknown delays its next placement by retryAfterUnknown, and a machine that had
// too few free resources or reported protocol.EndInUse gets no further tasks until its next
// update. Any other end of an attempt that is not current is ignored.
func (o *Owned) handleEndedAttempt(job *Job, attempt *Attempt, current bool, event message.TaskEvent) {
	if event.Cause == protocol.EndDone && job.Kind != protocol.KindService {
		o.handleCompletedAttempt(job, attempt, current, event.Task.Index)
		return
	}
	if !current {
		return
	}
	switch event.Cause {
	case protocol.EndError:
		o.handleFailedAttempt(job, attempt)
	case protocol.EndUnknown:
		job.NotBefore = o.After(retryAfterUnknown)
	case protocol.EndFull, protocol.EndInUse:
		o.markRefused(event.Machine)
	}
	o.Log.Debug("attempt ended", "task", event.Task, "cause", event.Cause, "saved", event.Saved, "machine", event.Machine)
	o.handleLostAttempt(job, attempt)
}

// handleCompletedAttempt handles the successful end of an attempt: its task is done, and so are
// all tasks of a gang. attempt is the current attempt of the task, nil if there is none;
// current is set if it is the attempt that ended. Otherwise attempt is killed, since its task
// is done.
func (o *Owned) handleCompletedAttempt(job *Job, attempt *Attempt, current bool, index uint32) {
	o.markTaskDone(job, index)
	if current {
		o.recordRunTime(job, attempt)
		o.resetLateRuns(job, attempt)
		o.RemoveAttempt(job, attempt)
	} else if attempt != nil {
		o.SendStop(attempt, true, 0)
	}
	if job.Kind == protocol.KindGang {
		for i := range job.Tasks {
			o.markTaskDone(job, i) // the tasks of a gang complete together
		}
	}
	o.finishIfDone(job)
	o.table.PlacementDue = true
}
