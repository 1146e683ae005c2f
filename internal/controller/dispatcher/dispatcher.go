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

// Dispatcher holds the queues of the machines that send their heartbeats to this
// controller.
type Dispatcher struct {
	*environment
	queues      queueSet
	inventories inventorySchedule
	// allAdoptedSince is since when this controller has held its lease and known that
	// all members have adopted this term; 0: not now. See ExpireSilent.
	allAdoptedSince clock.Time
	// leaseHeldSince is since when this controller has held its lease without a break;
	// 0: it does not.
	leaseHeldSince clock.Time
	// agentEpochFloor is the first agent epoch of a machine that may be alive: a
	// heartbeat of an earlier one was delayed by the network.
	agentEpochFloor map[protocol.MachineID]protocol.AgentEpoch
	// lastArrival is the arrival number of the attempt that was queued last.
	lastArrival uint64
	// handledPlaces is the number of the last Place handled, by owner.
	handledPlaces map[protocol.NodeName]uint64
}

// New returns a dispatcher that holds no machine yet.
func New(module clusterstate.Module) *Dispatcher {
	d := &Dispatcher{environment: newEnvironment(module)}
	d.Reset()
	return d
}

// Reset drops all state of this controller's session.
func (d *Dispatcher) Reset() {
	*d = Dispatcher{
		environment:     newEnvironment(d.Module),
		queues:          newQueueSet(),
		agentEpochFloor: map[protocol.MachineID]protocol.AgentEpoch{},
		handledPlaces:   map[protocol.NodeName]uint64{},
	}
}

// DropAll drops all queues and handovers: this controller is not in the view.
func (d *Dispatcher) DropAll() {
	d.queues = newQueueSet()
	d.direct.due = nil
	d.shards.clear()
}

// ForgetOwners drops the counts of placements from owners that have another session in
// the present view than in an earlier one.
func (d *Dispatcher) ForgetOwners(old record.View) {
	for name := range d.handledPlaces {
		if !clusterstate.SameMemberSession(old, d.View, name) {
			delete(d.handledPlaces, name)
		}
	}
}

// BeginTerm begins the new term's log of changes, with every machine as changed.
func (d *Dispatcher) BeginTerm() {
	d.changes = replication.ChangeLog[protocol.MachineID]{}
	d.TouchAll()
}

// TermAdopted notes that a new term was adopted, which settles unanswered starts once
// workers have seen it.
func (d *Dispatcher) TermAdopted() { d.newTermNeeded = false }

// TouchAll marks the published state of every machine as changed.
func (d *Dispatcher) TouchAll() {
	for _, q := range d.queues.inOrder() {
		q.touch()
	}
}

// InvalidateOrder has all queues sorted again: deadlines of jobs have changed.
func (d *Dispatcher) InvalidateOrder() {
	for _, q := range d.queues.byMachine {
		q.sorted = false
	}
}

// levelLookup returns the level of a job, if its owner has announced it.
type levelLookup func(protocol.JobID) (resource.Level, bool)

// Maintain does the work that is due once a relay period: it quarantines failing
// machines and preempts attempts for what waits and for what is reserved.
func (d *Dispatcher) Maintain(level levelLookup, fails failingLookup) {
	for _, q := range d.queues.inOrder() {
		if q.handingOver() {
			continue
		}
		q.quarantineIfFailing(fails)
		q.preempt()
		q.learnLevels(level)
		q.clearReserved()
		q.releaseOutdated()
	}
}

// AdoptConfiguration goes over to a new configuration: what may no longer be started by
// it is released to its owners.
func (d *Dispatcher) AdoptConfiguration() {
	for _, q := range d.queues.inOrder() {
		q.touch() // whether it is closed may have changed
		if !q.handingOver() {
			q.releaseOutdated()
		}
	}
}

// JobEnded releases or ends all attempts of a job that is over. If the job failed wherever
// it ran, its failures no longer count against any machine.
func (d *Dispatcher) JobEnded(id protocol.JobID, failing bool) {
	for _, q := range d.queues.inOrder() {
		if failing {
			q.quarantine.forgetJob(id)
		}
		if q.attemptsOfJob[id] == 0 || q.handingOver() {
			continue // during a handover: once it is aborted, or by the new dispatcher
		}
		q.endJob(id)
	}
}

// endJob releases those attempts of a job that is over that were never sent. The rest is
// killed or forgotten by the worker with the next direct commands or heartbeat reply.
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

// notifyOwner sends an event to the present owner of an attempt's job.
func (q *queue) notifyOwner(e *entry, kind message.EventKind) {
	q.touch()
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

// notifyPresent notifies an owner that an attempt is on its machine, once a heartbeat is
// known to be of this term: until then it may be one that the network delayed for
// minutes, of attempts lost long ago, which their owners would have killed. The inventory
// lists all of them.
func (q *queue) notifyPresent(e *entry, kind message.EventKind) {
	if q.inventoryKnown {
		q.notifyOwner(e, kind)
	}
}
