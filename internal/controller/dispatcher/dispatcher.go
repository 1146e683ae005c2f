package dispatcher

import (
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Dispatcher manages the queues of the machines whose workers send their heartbeats to this
// controller.
type Dispatcher struct {
	*environment
	queues      queueSet
	inventories inventorySchedule
	// allAdoptedSince is the time since which this controller has continuously held its
	// lease and all members have adopted the current term; 0 if that does not hold now. See
	// ExpireSilentMachines.
	allAdoptedSince clock.Time
	// leaseHeldSince is the time since which this controller has continuously held its
	// lease; 0 if it does not hold it.
	leaseHeldSince clock.Time
	// agentEpochFloor is the lowest agent epoch of a machine that may still be alive. A
	// heartbeat of an earlier epoch was delayed by the network.
	agentEpochFloor map[protocol.MachineID]protocol.AgentEpoch
	// lastArrival is the arrival number of the most recently queued attempt.
	lastArrival uint64
	// handledPlaces holds the number of the last Place message handled, by owner.
	handledPlaces map[protocol.NodeName]uint64
}

// New returns a dispatcher that holds no machines yet.
func New(module clusterstate.Module) *Dispatcher {
	d := &Dispatcher{environment: newEnvironment(module)}
	d.Reset()
	return d
}

// Reset drops all state that belongs to this controller's session.
func (d *Dispatcher) Reset() {
	*d = Dispatcher{
		environment:     newEnvironment(d.Module),
		queues:          newQueueSet(),
		agentEpochFloor: map[protocol.MachineID]protocol.AgentEpoch{},
		handledPlaces:   map[protocol.NodeName]uint64{},
	}
}

// DropAllQueues drops all queues and handovers. It is called when this controller is not a member
// of the view.
func (d *Dispatcher) DropAllQueues() {
	d.queues = newQueueSet()
	d.direct.due = nil
	d.shards.clear()
}

// ForgetEndedOwnerSessions drops the placement counts of owners whose session in the present view
// differs from their session in the old one.
func (d *Dispatcher) ForgetEndedOwnerSessions(old record.View) {
	for name := range d.handledPlaces {
		if !clusterstate.SameMemberSession(old, d.View, name) {
			delete(d.handledPlaces, name)
		}
	}
}

// BeginTerm starts a new change log for the new term and marks every machine as changed.
func (d *Dispatcher) BeginTerm() {
	d.changes = replication.ChangeLog[protocol.MachineID]{}
	d.MarkAllChanged()
}

// TermAdopted clears the request for a new term: one was adopted, which settles unanswered
// starts once the workers have seen it.
func (d *Dispatcher) TermAdopted() { d.newTermNeeded = false }

// MarkAllChanged marks the published state of every machine as changed.
func (d *Dispatcher) MarkAllChanged() {
	for _, q := range d.queues.inOrder() {
		q.markChanged()
	}
}

// InvalidateQueueOrder marks all queues as unsorted because job deadlines have changed.
func (d *Dispatcher) InvalidateQueueOrder() {
	for _, q := range d.queues.byMachine {
		q.sorted = false
	}
}

// levelLookup returns the level of a job, and whether the job's owner has announced it.
type levelLookup func(protocol.JobID) (resource.Level, bool)

// MaintainQueues does the work that is due once per replication interval: it quarantines failing
// machines, and preempts attempts in favor of waiting attempts and reservations.
func (d *Dispatcher) MaintainQueues(level levelLookup, isFailing failingLookup) {
	for _, q := range d.queues.inOrder() {
		if q.handingOver() {
			continue
		}
		q.updateQuarantine(isFailing)
		q.preempt()
		q.adoptAnnouncedLevels(level)
		q.preemptForReservations()
		q.releaseOutdated()
	}
}

// AdoptConfiguration applies a new configuration: it releases waiting attempts that may no
// longer be started to their owners.
func (d *Dispatcher) AdoptConfiguration() {
	for _, q := range d.queues.inOrder() {
		q.markChanged() // a cordon of the machine's zone or type may have begun or ended
		if !q.handingOver() {
			q.releaseOutdated()
		}
	}
}

// JobEnded releases or ends all attempts of a job that has ended. If the job failed on
// every machine, its failures no longer count against any machine.
func (d *Dispatcher) JobEnded(id protocol.JobID, failing bool) {
	for _, q := range d.queues.inOrder() {
		if failing {
			q.quarantine.forgetJob(id)
		}
		if q.attemptsOfJob[id] == 0 || q.handingOver() {
			continue // during a handover, this is done once it aborts, or by the new dispatcher
		}
		q.endJob(id)
	}
}

// endJob releases the attempts of an ended job that were never sent. The worker kills or
// forgets the other ones with the next direct commands or heartbeat reply.
func (q *queue) endJob(id protocol.JobID) {
	ofJob := func(task protocol.TaskID, _ *entry) bool { return task.Job == id }
	for _, e := range ordered.TasksWhere(q.entries, ofJob) {
		if !e.sent && !e.present {
			q.release(e)
		} else {
			q.requestDirect()
		}
	}
}

// notifyOwner sends an event to the current owner of an attempt's job.
func (q *queue) notifyOwner(e *entry, kind message.EventKind) {
	q.markChanged()
	owner := q.ownerOf(e)
	if owner == "" {
		return
	}
	event := &message.TaskEvent{
		TaskRef: message.TaskRef{Task: e.task, Attempt: e.attempt, Machine: q.id},
		What:    kind,
		Cause:   e.cause,
		Saved:   e.checkpointed,
	}
	if kind == message.EventNotice && q.noticeSeconds != nil {
		event.LeftS = *q.noticeSeconds
	}
	q.Send(owner, message.PeerMessage{Event: event})
}

// notifyPresent notifies an owner that an attempt is on its machine, but only after a
// heartbeat is known to belong to this term. Before that, the heartbeat may have been
// delayed by the network for minutes and list attempts that were lost long ago, which their
// owners would then kill. The inventory lists all attempts that are present.
func (q *queue) notifyPresent(e *entry, kind message.EventKind) {
	if q.inventoryKnown {
		q.notifyOwner(e, kind)
	}
}
