package jobs

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// HandleInventory handles a dispatcher's inventory of a machine, which lists all attempts of
// this owner's jobs there that were placed by its Place messages up to the number in the
// inventory. It applies the reported state of each listed attempt. Unlisted attempts are lost
// if they are unverified or were placed by these messages. An inventory that isCurrentInventory
// rejects is ignored.
func (o *Owned) HandleInventory(from protocol.NodeName, inventory *message.Inventory) {
	m := o.table.Machines[inventory.Machine]
	if m == nil || !o.isCurrentInventory(from, inventory, m) {
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
	lost := 0
	for _, attempt := range ordered.Tasks(o.AttemptsByMachine[m.ID]) {
		job := o.ByID[attempt.Task.Job]
		if job == nil || listed[attempt.Task] || (!attempt.Unverified && attempt.PlaceNumber > inventory.Upto) {
			continue
		}
		lost++
		o.handleLostAttempt(job, attempt)
	}
	if lost > 0 {
		o.Log.Info("attempts are lost: the inventory does not list them", "machine", m.ID, "attempts", lost, "from", from, "upto", inventory.Upto, "shard_epoch", inventory.Tenure, "record", m.Epoch)
	}
	o.dropEndedJobAttempts(inventory.Machine, inventory.Upto)
	o.recordEndedJobAttempts(inventory)
	delete(o.AwaitedInventories, inventory.Machine)
	o.resolveUnverified()
}

// isCurrentInventory reports whether an inventory matches the present term, machine record,
// dispatcher and shard epoch.
func (o *Owned) isCurrentInventory(from protocol.NodeName, inventory *message.Inventory, m *waittable.Machine) bool {
	return inventory.Term == o.View.Term && m.Epoch == inventory.Epoch &&
		o.DispatcherOf(inventory.Machine) == from && inventory.Tenure == o.ShardEpoch(inventory.Machine, m.Record.Zone)
}

// recordEndedJobAttempts counts the listed attempts of jobs whose final record this owner has
// read and the dispatcher has not: the dispatcher has not killed the attempts, and may even
// start them until it reads the record. They count against their team's limit until the
// dispatcher reports that they have ended. If they were treated as lost, their resources
// would be assigned to other tasks of the team, and the team would exceed its limit.
func (o *Owned) recordEndedJobAttempts(inventory *message.Inventory) {
	for _, held := range inventory.Held {
		if o.Live[held.Task.Job] == nil && held.State != protocol.TaskEnded && o.MayHaveLimit(held.Team) {
			ref := message.TaskRef{Task: held.Task, Attempt: held.Attempt, Machine: inventory.Machine}
			o.EndedJobAttempts[ref] = endedJobAttempt{held.Team, held.Need, 0}
		}
	}
}

// adoptAttempt handles one attempt of an inventory: it restores the attempt if the job is
// unverified and has no attempt of the task, marks it as verified, and applies its reported
// state as a task event.
func (o *Owned) adoptAttempt(job *Job, m *waittable.Machine, held message.HeldAttempt) {
	ref := message.TaskRef{Task: held.Task, Attempt: held.Attempt, Machine: m.ID}
	attempt := job.Placed[held.Task]
	if attempt == nil && job.Unverified {
		attempt = o.restoreAttempt(job, m, held)
	}
	if attempt != nil && attempt.ref() == ref {
		attempt.startUnseen = attempt.startUnseen || attempt.Unverified && !attempt.running
		if attempt.Unverified {
			attempt.PlaceNumber, attempt.Unverified = 0, false // the number was counted by an earlier session
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

// restoreAttempt adds an attempt that an inventory lists to a job after a takeover. If the task
// is done, the attempt is killed.
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

// resolveUnverified ends the verification after a takeover, once every machine that might have
// an attempt has either sent its inventory or been lost: tasks of unverified jobs that are
// neither done nor listed become pending, and the usage of the limited teams is complete. A job
// whose bitmap has not been read stays unverified.
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
