// Package dispatcher keeps the queues of the machines that report to this
// controller: what waits there, what runs, what its workers are told, and what
// others are told of it. It reads what is known and says what it asks for; of
// membership and of owning jobs it knows nothing.
package dispatcher

import (
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Dispatcher keeps the queues of the machines that report to this controller.
type Dispatcher struct {
	clusterstate.Module
	queues       map[protocol.MachineID]*queue
	sortedQueues []*queue // the queues in order of their machines' names; nil: to be sorted again
	// inventoriesPending are queues kept without a break whose inventories of this term
	// may be given at once.
	inventoriesPending []*queue
	directDue          []*queue // with commands that may go out at once
	// allAdoptedSince is since when this controller has acted and known that all act
	// reportedBy this term; 0: not now. See expireSilent.
	allAdoptedSince clock.Time
	// leaseHeldSince is since when this controller has acted without a break; 0: it does not.
	leaseHeldSince clock.Time
	// agentEpochFloor is the first session of a machine that may be alive: a
	// heartbeat of an earlier one was held back by the network.
	agentEpochFloor map[protocol.MachineID]protocol.AgentEpoch
	lastArrival     uint64                       // reservation the last attempt queued
	handledPlaces   map[protocol.NodeName]uint64 // placeNumber of the last Place handled, by owner
	changes         replication.Log[protocol.MachineID]
	newTermNeeded   bool // a start can only be settled by a later term
	shards          map[sharding.ID]*shardState
	incoming        map[sharding.ID]*incomingHandover // handoverOf over, to be taken
	completedMoves  []CompletedMove                   // that ended lately
	shardChangeDue  bool                              // there may be a change of the shares to ask for
}

// New keeps nothing yet.
func New(p clusterstate.Module) *Dispatcher {
	k := &Dispatcher{Module: p}
	k.Reset()
	return k
}

// Reset forgets everything a session knew.
func (k *Dispatcher) Reset() {
	*k = Dispatcher{Module: k.Module}
	k.queues, k.agentEpochFloor = map[protocol.MachineID]*queue{}, map[protocol.MachineID]protocol.AgentEpoch{}
	k.handledPlaces = map[protocol.NodeName]uint64{}
	k.shards, k.incoming = map[sharding.ID]*shardState{}, map[sharding.ID]*incomingHandover{}
}

// levelOf tells the level of a job, if its owner has told it.
type levelOf func(protocol.JobID) (resource.Level, bool)

// DropAll forgets all queues: this controller is not in the view.
func (k *Dispatcher) DropAll() {
	k.queues, k.sortedQueues, k.directDue = map[protocol.MachineID]*queue{}, nil, nil
	k.shards, k.incoming = map[sharding.ID]*shardState{}, map[sharding.ID]*incomingHandover{}
}

// ForgetOwners forgets what was counted of owners that have another session in
// the present view than in an earlier one.
func (k *Dispatcher) ForgetOwners(old record.View) {
	for name := range k.handledPlaces {
		if !clusterstate.SameMemberSession(old, k.View, name) {
			delete(k.handledPlaces, name)
		}
	}
}

// BeginTerm begins a new term's stream of what changes, with all there is as changed,
// and the inventories of queues kept without a break.
func (k *Dispatcher) BeginTerm() {
	k.changes = replication.Log[protocol.MachineID]{}
	k.TouchAll()
}

// TouchAll notes that what others are told of every machine has changed.
func (k *Dispatcher) TouchAll() {
	for _, q := range k.queuesInOrder() {
		k.touch(q)
	}
}

// StateOf is what others are told of a machine, if it is kept here.
func (k *Dispatcher) StateOf(id protocol.MachineID) (message.MachineState, bool) {
	q := k.queues[id]
	if q == nil {
		return message.MachineState{}, false
	}
	return k.stateOfQueue(q), true
}

// InvalidateOrder has queues sorted again: when jobs are due has changed.
func (k *Dispatcher) InvalidateOrder() {
	for _, q := range k.queues {
		q.sorted = false
	}
}

// Maintain is what is done once a relay period: others are stopped for what waits,
// and for what room is held for.
func (k *Dispatcher) Maintain(level levelOf, fails jobFailing) {
	for _, q := range k.queuesInOrder() {
		if k.handingOver(q) {
			continue
		}
		k.quarantineIfFailing(q, fails)
		k.preempt(q)
		k.learnLevels(q, level)
		k.clearHeld(q)
		k.releaseOutdated(q)
	}
}

// RecordUpdated takes over a machine's record.
func (k *Dispatcher) RecordUpdated(m *clusterstate.Machine) {
	q := k.queues[m.ID]
	if q != nil && q.agentEpoch < m.Record.Session {
		// Registered by the keeper before, whose word of it came too late.
		k.beginAgentEpoch(q, m.Record.Session)
	}
	if q != nil && q.agentEpoch == m.Record.Session {
		q.recordVersion, q.registering = m.Epoch, false
		k.touch(q)
	} else if q == nil && k.Member() && k.DispatcherOf(m.ID) == k.Self {
		k.addQueue(m.ID, m.Record.Zone).registered(m)
	}
}

// RecordDeleted: a machine's record was deleted, on proof that nothing is left.
func (k *Dispatcher) RecordDeleted(m *clusterstate.Machine) {
	k.agentEpochFloor[m.ID] = max(k.agentEpochFloor[m.ID], m.Record.Session+1)
	if q := k.queues[m.ID]; q != nil && q.agentEpoch <= m.Record.Session {
		k.dropQueue(m.ID)
	}
}

// RemovalDone takes the outcome of a record's removal; the followed record says
// whether it has gone.
func (k *Dispatcher) RemovalDone(id protocol.MachineID) {
	if q := k.queues[id]; q != nil {
		q.removing = false
	}
}

// JobOver: nothing of a job that is over may start or go on. If it failed wherever it
// runTimes, that speaks against no machine.
func (k *Dispatcher) JobOver(id protocol.JobID, failing bool) {
	for _, q := range k.queuesInOrder() {
		if failing {
			delete(q.failedJobs, id)
		}
		if q.attemptsOfJob[id] == 0 || k.handingOver(q) {
			continue // if frozen: when it goes on, or by who takes it
		}
		k.endJobIn(q, id)
	}
}

// endJobIn releases what of a job that is over was never sent; the rest is killed
// or reaped now, or by the next answer.
func (k *Dispatcher) endJobIn(q *queue, id protocol.JobID) {
	for _, e := range ordered.TasksWhere(q.entries, func(t protocol.TaskID, _ *entry) bool { return t.Job == id }) {
		if !e.sent && !e.present {
			k.dropWaiting(q, e)
			k.notifyOwner(q, e, message.EventReleased)
		} else {
			k.requestDirect(q)
		}
	}
}

// InventoriedMachines is how many machines kept are registered and known to have nothing but
// what is listed.
func (k *Dispatcher) InventoriedMachines() (n int) {
	for _, q := range k.queues {
		if q.inventoryKnown && q.recordVersion != 0 {
			n++
		}
	}
	return n
}

// Attempt is one attempt that is kept, as it can be seen from outside.
type Attempt struct {
	message.TaskRef
	Sent     bool // it may be on the machine
	Present  bool // the worker has reported it
	Ended    bool
	Kill     bool
	Reap     bool
	Direct   protocol.Term // reservation a start that may be under way
	Resent   bool
	InAnswer bool
}

// Attempts lists what is kept of a machine.
func (k *Dispatcher) Attempts(id protocol.MachineID) (list []Attempt) {
	q := k.queues[id]
	if q == nil {
		return nil
	}
	for _, e := range ordered.Tasks(q.entries) {
		list = append(list, Attempt{
			TaskRef: message.TaskRef{Task: e.task, Attempt: e.attempt, Machine: id},
			Sent:    e.sent, Present: e.present, Ended: e.ended(), Kill: e.kill, Reap: e.reap, Direct: e.directToken, Resent: e.startResent, InAnswer: e.startInLastReply,
		})
	}
	return list
}

// Machines lists the machines kept, in order.
func (k *Dispatcher) Machines() (ids []protocol.MachineID) {
	for _, q := range k.queuesInOrder() {
		ids = append(ids, q.id)
	}
	return ids
}

// HandledOf is the number of the last Place handled of an owner.
func (k *Dispatcher) HandledOf(owner protocol.NodeName) uint64 { return k.handledPlaces[owner] }

// ChangedSince lists the machines whose word has changed since a place in this
// term's stream, so many at the most, and up to where that goes.
func (k *Dispatcher) ChangedSince(from uint64, most int) ([]protocol.MachineID, uint64) {
	return k.changes.Since(from, most)
}

// Changes is how far this term's stream goes.
func (k *Dispatcher) Changes() uint64 { return k.changes.Version() }

// TermAdopted notes that a new term was adopted, which settles starts without an
// answer once workers have seen it.
func (k *Dispatcher) TermAdopted() { k.newTermNeeded = false }

// NeedsNewTerm reports whether a start can only be settled by a later term.
func (k *Dispatcher) NeedsNewTerm() bool { return k.newTermNeeded }
