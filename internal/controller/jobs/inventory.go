package jobs

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// HandleInventory handles a dispatcher's proof of all attempts that are on a machine.
func (o *Owned) HandleInventory(from protocol.NodeName, inventory *message.Inventory) {
	m := o.table.Machines[inventory.Machine]
	if m == nil || !o.inventoryCurrent(from, inventory, m) {
		return
	}
	listed := map[protocol.TaskID]bool{}
	for _, held := range inventory.Held {
		job := o.ByID[held.Task.Job]
		if job == nil || held.Task.Index >= job.Tasks {
			continue
		}
		listed[held.Task] = true
		o.adoptAttempt(job, m, held)
	}
	for _, attempt := range ordered.Tasks(o.AttemptsOn[m.ID]) {
		job := o.ByID[attempt.Task.Job]
		if job == nil || listed[attempt.Task] || (!attempt.Unverified && attempt.PlaceNumber > inventory.Upto) {
			continue
		}
		o.attemptLost(job, attempt)
	}
	o.dropEndedAttempts(inventory.Machine, inventory.Upto)
	o.recordEndedAttempts(inventory)
	delete(o.AwaitedInventories, inventory.Machine)
	o.resolveUnverified()
}

// inventoryCurrent reports whether an inventory is of the present term, machine record,
// dispatcher and shard epoch.
func (o *Owned) inventoryCurrent(from protocol.NodeName, inventory *message.Inventory, m *waittable.Machine) bool {
	return inventory.Term == o.View.Term && m.Epoch == inventory.Epoch &&
		o.DispatcherOf(inventory.Machine) == from && inventory.Tenure == o.ShardEpoch(inventory.Machine, m.Record.Zone)
}

// recordEndedAttempts counts the attempts on a machine of jobs that are over here, but not
// yet by the records that its dispatcher has followed: it has not killed them, and may even
// start them until it follows. They count against their team's limit until the dispatcher
// reports that they have ended. When they were taken to be lost, their resources were given
// to others of the team, beyond the limit.
func (o *Owned) recordEndedAttempts(inventory *message.Inventory) {
	for _, held := range inventory.Held {
		if o.Live[held.Task.Job] == nil && held.State != protocol.TaskEnded && o.Limited(held.Team) {
			ref := message.TaskRef{Task: held.Task, Attempt: held.Attempt, Machine: inventory.Machine}
			o.EndedAttempts[ref] = endedAttempt{held.Team, held.Need, 0}
		}
	}
}

// adoptAttempt handles one attempt of an inventory.
func (o *Owned) adoptAttempt(job *Job, m *waittable.Machine, held message.HeldAttempt) {
	ref := message.TaskRef{Task: held.Task, Attempt: held.Attempt, Machine: m.ID}
	attempt := job.Placed[held.Task]
	if attempt == nil && job.Unverified {
		attempt = o.restoreAttempt(job, m, held)
	}
	if attempt != nil && attempt.ref() == ref {
		attempt.startUnseen = attempt.startUnseen || attempt.Unverified && !attempt.running
		if attempt.Unverified {
			attempt.PlaceNumber, attempt.Unverified = 0, false // counted by an earlier session
		}
	}
	switch held.State {
	case "":
	case protocol.TaskEnded:
		o.HandleTaskEvent(message.TaskEvent{TaskRef: ref, What: message.EventEnded, Cause: held.Cause, Saved: held.Saved})
	case protocol.TaskRunning:
		o.HandleTaskEvent(message.TaskEvent{TaskRef: ref, What: message.EventRunning})
	default:
		o.HandleTaskEvent(message.TaskEvent{TaskRef: ref, What: message.EventPresent})
	}
}

// restoreAttempt adds an attempt of a job just taken over that an inventory lists.
func (o *Owned) restoreAttempt(job *Job, m *waittable.Machine, held message.HeldAttempt) *Attempt {
	attempt := &Attempt{
		Task: held.Task, Number: held.Attempt, Machine: m.ID, Epoch: m.Epoch, Zone: m.Record.Zone,
		Estimate: o.Estimate(&job.Job), startUnseen: true,
	}
	o.AddAttempt(job, attempt)
	if job.Done.Test(uint(held.Task.Index)) {
		o.SendStop(attempt, true, 0)
	}
	return attempt
}

// resolveUnverified makes the unlisted tasks of jobs taken over pending, once every machine
// that might have an attempt has sent its inventory or been lost.
func (o *Owned) resolveUnverified() {
	if len(o.AwaitedInventories) > 0 {
		return
	}
	clear(o.UnverifiedTeams)
	o.table.PlacementDue = true
	for _, job := range o.ByID {
		if !job.Unverified || !job.Loaded {
			continue
		}
		job.Unverified = false
		for i := range job.Tasks {
			if !job.Done.Test(uint(i)) && job.Placed[protocol.TaskID{Job: job.ID, Index: i}] == nil {
				job.Pending.Set(uint(i))
			}
		}
		o.Log.Debug("job taken over", "job", job.ID, "done", job.DoneCount, "placed", len(job.Placed))
	}
}
