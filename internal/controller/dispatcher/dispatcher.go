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
	// agentEpochFloor holds, for each machine whose record was deleted, the lowest agent
	// epoch that may still be alive. A heartbeat of an earlier epoch was delayed by the
	// network.
	agentEpochFloor map[protocol.MachineID]protocol.AgentEpoch
	// lastArrival is the arrival number of the last attempt that was queued, counted from 1.
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

// Reset drops all state that belongs to this controller's session: queues, handovers, the
// change log and the counts of handled placements.
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

// ForgetEndedOwnerSessions drops the numbers of the last handled Place messages of owners
// whose session in the present view differs from their session in the old one. A new
// session numbers its messages anew.
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

// TermAdopted clears the request for a new term (see NeedsNewTerm): one was adopted. The
// workers no longer execute direct starts of earlier terms once they have seen it.
func (d *Dispatcher) TermAdopted() { d.newTermNeeded = false }

// MarkAllChanged marks the published state of every machine as changed.
func (d *Dispatcher) MarkAllChanged() {
	for _, q := range d.queues.inOrder() {
		q.markChanged()
	}
}

// InvalidateQueueOrder marks the waiting attempts of every queue as unsorted, so that they
// are sorted again before the next start, because job deadlines have changed.
func (d *Dispatcher) InvalidateQueueOrder() {
	for _, q := range d.queues.byMachine {
		q.sorted = false
	}
}

// levelLookup returns the level of a job as announced by its owner; false if the owner has
// not announced it.
type levelLookup func(protocol.JobID) (resource.Level, bool)

// MaintainQueues does the work that is due once per replication interval on each machine
// that is not being handed over: it begins or ends the machine's quarantine, preempts
// attempts in favor of waiting attempts and reservations, replaces guessed levels by
// announced ones, and releases waiting attempts that the configuration no longer allows to
// start.
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

// AdoptConfiguration applies a new configuration: it marks the published state of all
// machines as changed, and releases waiting attempts that may no longer be started to their
// owners.
func (d *Dispatcher) AdoptConfiguration() {
	for _, q := range d.queues.inOrder() {
		q.markChanged() // a cordon of the machine's zone or type may have begun or ended
		if !q.handingOver() {
			q.releaseOutdated()
		}
	}
}

// JobEnded releases the attempts of an ended job that were never sent, and has the workers
// kill or forget the other ones. If failing is set, the job failed on every machine, and
// its failures no longer count towards the quarantine of any.
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

// notifyOwner sends an event to the current owner of an attempt's job, and marks the
// machine's published state as changed. Nothing is sent if the owner is not known.
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

// notifyPresent notifies the owner of an attempt that it is on its machine, but only once
// the inventory of the machine is known, since only then a heartbeat is known to belong to
// this term. Before that, the heartbeat may have been delayed by the network for minutes
// and list attempts that were lost long ago, which their owners would then kill. The
// inventory lists all attempts that are present, so no owner misses one.
func (q *queue) notifyPresent(e *entry, kind message.EventKind) {
	if q.inventoryKnown {
		q.notifyOwner(e, kind)
	}
}
