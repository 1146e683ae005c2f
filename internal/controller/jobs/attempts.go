package jobs

import (
	"math"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// NextAttempt returns a new attempt number. Numbers grow, and those of a later term are
// larger than all of an earlier one.
func (o *Owned) NextAttempt() protocol.Attempt {
	o.attemptCounter++
	return protocol.Attempt(uint64(o.View.Term)<<32 | o.attemptCounter)
}

// AddAttempt adds an attempt of a job that may exist from now on.
func (o *Owned) AddAttempt(job *Job, attempt *Attempt) {
	job.Placed[attempt.Task] = attempt
	job.Pending.Clear(uint(attempt.Task.Index))
	job.Unstarted++
	o.AttemptsOn.add(attempt)
}

// RemoveAttempt drops an attempt that is proven not to exist, or that no longer belongs to
// the job.
func (o *Owned) RemoveAttempt(job *Job, attempt *Attempt) {
	if job.Placed[attempt.Task] == attempt {
		delete(job.Placed, attempt.Task)
		if !attempt.Started {
			job.Unstarted--
		}
	}
	if attempt.running {
		job.running--
		attempt.running = false
	}
	o.changes.Touch(job.ID)
	o.AttemptsOn.remove(attempt)
}

// attemptLost makes a task pending again whose attempt is proven not to exist any more.
func (o *Owned) attemptLost(job *Job, attempt *Attempt) {
	index := uint(attempt.Task.Index)
	if attempt.Started {
		job.interrupted.Set(index)
	}
	o.RemoveAttempt(job, attempt)
	// Of a job just taken over, a lost attempt proves nothing about others: a
	// later one may run on a machine whose inventory has not been received. What is
	// missing once all have been becomes pending then.
	if !job.Unverified && !job.Done.Test(index) {
		job.Pending.Set(index)
	}
	o.table.PlacementDue = true
	if job.Kind == protocol.KindGang {
		// The others can't go on: the next attempt starts when none of this one exists.
		o.StopAll(job)
	}
}

// SendStop asks the dispatcher of an attempt's machine to end it: to kill it with a grace
// period in seconds, or else only to release it if it has not been sent to the worker.
func (o *Owned) SendStop(attempt *Attempt, kill bool, graceSeconds float64) {
	if attempt.Stopping && kill && graceSeconds > 0 {
		return
	}
	attempt.Stopping, attempt.ReleaseAsked = attempt.Stopping || kill, !kill
	o.Send(o.DispatcherOf(attempt.Machine), message.PeerMessage{Stop: &message.Stop{
		TaskRef: attempt.ref(), Kill: kill, GraceS: graceSeconds,
	}})
}

// StopAll has all attempts of a job stopped, with its grace period.
func (o *Owned) StopAll(job *Job) {
	for _, attempt := range ordered.Tasks(job.Placed) {
		o.SendStop(attempt, true, clusterstate.GraceS(&job.Job))
	}
}

// MachineLost drops everything that was placed on a machine by its present record, which
// has been removed.
func (o *Owned) MachineLost(m *waittable.Machine) {
	delete(o.AwaitedInventories, m.ID)
	o.dropEndedAttempts(m.ID, math.MaxUint64)
	for _, attempt := range ordered.Tasks(o.AttemptsOn[m.ID]) {
		if job := o.ByID[attempt.Task.Job]; job != nil && job.Placed[attempt.Task] == attempt {
			o.attemptLost(job, attempt)
		}
	}
	delete(o.AttemptsOn, m.ID)
	o.table.PlacementDue = true
	o.resolveUnverified()
}

// dropEndedAttempts drops the ended attempts on a machine that were placed by Place messages
// up to a number: the machine has none of them any more.
func (o *Owned) dropEndedAttempts(id protocol.MachineID, upto uint64) {
	if o.EndedAttempts.dropUpto(id, upto) {
		o.table.PlacementDue = true
	}
}
