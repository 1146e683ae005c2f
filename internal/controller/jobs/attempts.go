package jobs

import (
	"math"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// NextAttempt returns a new attempt number. Numbers increase, and each number of a later
// term is larger than all numbers of earlier terms.
func (o *Owned) NextAttempt() protocol.Attempt {
	o.attemptCounter++
	return protocol.Attempt(uint64(o.View.Term)<<32 | o.attemptCounter)
}

// AddAttempt adds an unstarted attempt to a job and to AttemptsByMachine. Its task is no longer
// pending.
func (o *Owned) AddAttempt(job *Job, attempt *Attempt) {
	job.Placed[attempt.Task] = attempt
	job.Pending.Clear(uint(attempt.Task.Index))
	job.Unstarted++
	o.AttemptsByMachine.add(attempt)
}

// RemoveAttempt drops an attempt that is proven not to exist, or that no longer belongs to the
// job, from the job and from AttemptsByMachine. It does not make the task pending.
func (o *Owned) RemoveAttempt(job *Job, attempt *Attempt) {
	if job.Placed[attempt.Task] == attempt {
		delete(job.Placed, attempt.Task)
		if !attempt.Started {
			job.Unstarted--
		}
	}
	if attempt.running {
		job.runningCount--
		attempt.running = false
	}
	o.changes.Touch(job.ID)
	o.AttemptsByMachine.remove(attempt)
}

// handleLostAttempt removes an attempt that is proven not to exist any more, and makes its task
// pending again, unless the task is done or the job is unverified. If the job is a gang, its
// other attempts are killed with the job's grace period.
func (o *Owned) handleLostAttempt(job *Job, attempt *Attempt) {
	index := uint(attempt.Task.Index)
	if attempt.Started {
		job.interrupted.Set(index)
	}
	o.RemoveAttempt(job, attempt)
	// After a takeover the loss of one attempt does not prove that the task has no other: a
	// later attempt may run on a machine whose inventory has not been received. Tasks that
	// are unlisted once all inventories have been received become pending then.
	if !job.Unverified && !job.Done.Test(index) {
		job.Pending.Set(index)
	}
	o.table.PlacementDue = true
	if job.Kind == protocol.KindGang {
		// The other tasks can't continue without this one. The next attempt of the gang
		// starts once no task of the present attempt exists.
		o.StopAttempts(job)
	}
}

// SendStop asks the dispatcher of an attempt's machine to end the attempt. If the attempt has
// not been sent to the worker, it is released. Otherwise it is killed with a grace period in
// seconds if kill is set, and continues if not. A kill with a grace period is not sent again to
// an attempt that is being killed.
func (o *Owned) SendStop(attempt *Attempt, kill bool, graceSeconds float64) {
	if attempt.Stopping && kill && graceSeconds > 0 {
		return
	}
	attempt.Stopping, attempt.ReleaseRequested = attempt.Stopping || kill, !kill
	o.Send(o.DispatcherOf(attempt.Machine), message.PeerMessage{Stop: &message.Stop{
		TaskRef: attempt.ref(), Kill: kill, GraceS: graceSeconds,
	}})
}

// StopAttempts asks the dispatchers to kill all attempts of a job, with the job's grace period.
func (o *Owned) StopAttempts(job *Job) {
	for _, attempt := range ordered.Tasks(job.Placed) {
		o.SendStop(attempt, true, clusterstate.GraceS(&job.Job))
	}
}

// HandleMachineLost drops all attempts on a machine whose record has been removed, and makes
// their tasks pending again: the attempts were placed under that record. The inventory of the
// machine is no longer awaited.
func (o *Owned) HandleMachineLost(m *waittable.Machine) {
	delete(o.AwaitedInventories, m.ID)
	o.dropEndedJobAttempts(m.ID, math.MaxUint64)
	if n := len(o.AttemptsByMachine[m.ID]); n > 0 {
		o.Log.Info("attempts are lost: the machine's record has changed or gone", "machine", m.ID, "attempts", n, "record", m.Epoch)
	}
	for _, attempt := range ordered.Tasks(o.AttemptsByMachine[m.ID]) {
		if job := o.ByID[attempt.Task.Job]; job != nil && job.Placed[attempt.Task] == attempt {
			o.handleLostAttempt(job, attempt)
		}
	}
	delete(o.AttemptsByMachine, m.ID)
	o.table.PlacementDue = true
	o.resolveUnverified()
}

// dropEndedJobAttempts drops the attempts of ended jobs on a machine that were placed by Place
// messages with numbers up to maxPlaceNumber: none of them exists any more.
func (o *Owned) dropEndedJobAttempts(id protocol.MachineID, maxPlaceNumber uint64) {
	if o.EndedJobAttempts.dropUpto(id, maxPlaceNumber) {
		o.table.PlacementDue = true
	}
}
