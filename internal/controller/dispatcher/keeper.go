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

// Keeper keeps the queues of the machines that report to this controller.
type Keeper struct {
	clusterstate.Part
	queues map[protocol.MachineID]*queue
	kept   []*queue // the queues in order of their machines' names; nil: to be sorted again
	// inventoryDue are queues kept without a break whose inventories of this term
	// may be given at once.
	inventoryDue []*queue
	pushing      []*queue // with commands that may go out at once
	// allSince is since when this controller has acted and known that all act
	// by this term; 0: not now. See expireSilent.
	allSince clock.Time
	// actsSince is since when this controller has acted without a break; 0: it does not.
	actsSince clock.Time
	// sessionFloor is the first session of a machine that may be alive: a
	// report of an earlier one was held back by the network.
	sessionFloor map[protocol.MachineID]protocol.Session
	order        uint64                       // of the last attempt queued
	handled      map[protocol.NodeName]uint64 // number of the last Place handled, by owner
	changed      replication.Log[protocol.MachineID]
	needsTerm    bool // a start can only be settled by a later term
	shares       map[sharding.ID]*share
	staged       map[sharding.ID]*staged // handed over, to be taken
	moved        []Moved                 // that ended lately
	asking       bool                    // there may be a change of the shares to ask for
}

// New keeps nothing yet.
func New(p clusterstate.Part) *Keeper {
	k := &Keeper{Part: p}
	k.Reset()
	return k
}

// Reset forgets everything a session knew.
func (k *Keeper) Reset() {
	*k = Keeper{Part: k.Part}
	k.queues, k.sessionFloor = map[protocol.MachineID]*queue{}, map[protocol.MachineID]protocol.Session{}
	k.handled = map[protocol.NodeName]uint64{}
	k.shares, k.staged = map[sharding.ID]*share{}, map[sharding.ID]*staged{}
}

// levelOf tells the level of a job, if its owner has told it.
type levelOf func(protocol.JobID) (resource.Level, bool)

// Drop forgets all queues: this controller is not in the view.
func (k *Keeper) Drop() {
	k.queues, k.kept, k.pushing = map[protocol.MachineID]*queue{}, nil, nil
	k.shares, k.staged = map[sharding.ID]*share{}, map[sharding.ID]*staged{}
}

// ForgetOwners forgets what was counted of owners that have another session in
// the present view than in an earlier one.
func (k *Keeper) ForgetOwners(old record.View) {
	for name := range k.handled {
		if !clusterstate.SameSession(old, k.View, name) {
			delete(k.handled, name)
		}
	}
}

// Begin begins a new term's stream of what changes, with all there is as changed,
// and the inventories of queues kept without a break.
func (k *Keeper) Begin() {
	k.changed = replication.Log[protocol.MachineID]{}
	k.TouchAll()
}

// TouchAll notes that what others are told of every machine has changed.
func (k *Keeper) TouchAll() {
	for _, q := range k.queuesInOrder() {
		k.touch(q)
	}
}

// StateOf is what others are told of a machine, if it is kept here.
func (k *Keeper) StateOf(id protocol.MachineID) (message.MachineState, bool) {
	q := k.queues[id]
	if q == nil {
		return message.MachineState{}, false
	}
	return k.stateOfQueue(q), true
}

// Resort has queues sorted again: when jobs are due has changed.
func (k *Keeper) Resort() {
	for _, q := range k.queues {
		q.sorted = false
	}
}

// Regular is what is done once a relay period: others are stopped for what waits,
// and for what room is held for.
func (k *Keeper) Regular(level levelOf, fails failsOf) {
	for _, q := range k.queuesInOrder() {
		if k.frozen(q) {
			continue
		}
		k.judge(q, fails)
		k.preempt(q)
		k.learnLevels(q, level)
		k.clearHeld(q)
		k.releaseOutdated(q)
	}
}

// Recorded takes over a machine's record.
func (k *Keeper) Recorded(m *clusterstate.Machine) {
	q := k.queues[m.ID]
	if q != nil && q.session < m.Record.Session {
		// Registered by the keeper before, whose word of it came too late.
		k.newSession(q, m.Record.Session)
	}
	if q != nil && q.session == m.Record.Session {
		q.epoch, q.registering = m.Epoch, false
		k.touch(q)
	} else if q == nil && k.Member() && k.Keeper(m.ID) == k.Self {
		k.keep(m.ID, m.Record.Zone).registered(m)
	}
}

// RecordGone: a machine's record was deleted, on proof that nothing is left.
func (k *Keeper) RecordGone(m *clusterstate.Machine) {
	k.sessionFloor[m.ID] = max(k.sessionFloor[m.ID], m.Record.Session+1)
	if q := k.queues[m.ID]; q != nil && q.session <= m.Record.Session {
		k.dropQueue(m.ID)
	}
}

// RemovalDone takes the outcome of a record's removal; the followed record says
// whether it has gone.
func (k *Keeper) RemovalDone(id protocol.MachineID) {
	if q := k.queues[id]; q != nil {
		q.removing = false
	}
}

// JobOver: nothing of a job that is over may start or go on. If it failed wherever it
// ran, that speaks against no machine.
func (k *Keeper) JobOver(id protocol.JobID, failing bool) {
	for _, q := range k.queuesInOrder() {
		if failing {
			delete(q.failed, id)
		}
		if q.ofJob[id] == 0 || k.frozen(q) {
			continue // if frozen: when it goes on, or by who takes it
		}
		k.overIn(q, id)
	}
}

// overIn releases what of a job that is over was never sent; the rest is killed
// or reaped now, or by the next answer.
func (k *Keeper) overIn(q *queue, id protocol.JobID) {
	for _, e := range ordered.TasksWhere(q.entries, func(t protocol.TaskID, _ *entry) bool { return t.Job == id }) {
		if !e.sent && !e.present {
			k.dropWaiting(q, e)
			k.tell(q, e, message.WhatReleased)
		} else {
			k.wake(q)
		}
	}
}

// Heard is how many machines kept are registered and known to have nothing but
// what is listed.
func (k *Keeper) Heard() (n int) {
	for _, q := range k.queues {
		if q.known && q.epoch != 0 {
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
	Direct   protocol.Term // of a start that may be under way
	Again    bool
	InAnswer bool
}

// Attempts lists what is kept of a machine.
func (k *Keeper) Attempts(id protocol.MachineID) (list []Attempt) {
	q := k.queues[id]
	if q == nil {
		return nil
	}
	for _, e := range ordered.Tasks(q.entries) {
		list = append(list, Attempt{
			TaskRef: message.TaskRef{Task: e.task, Attempt: e.attempt, Machine: id},
			Sent:    e.sent, Present: e.present, Ended: e.ended(), Kill: e.kill, Reap: e.reap, Direct: e.direct, Again: e.again, InAnswer: e.inAnswer,
		})
	}
	return list
}

// Machines lists the machines kept, in order.
func (k *Keeper) Machines() (ids []protocol.MachineID) {
	for _, q := range k.queuesInOrder() {
		ids = append(ids, q.id)
	}
	return ids
}

// HandledOf is the number of the last Place handled of an owner.
func (k *Keeper) HandledOf(owner protocol.NodeName) uint64 { return k.handled[owner] }

// ChangedSince lists the machines whose word has changed since a place in this
// term's stream, so many at the most, and up to where that goes.
func (k *Keeper) ChangedSince(from uint64, most int) ([]protocol.MachineID, uint64) {
	return k.changed.Since(from, most)
}

// Changes is how far this term's stream goes.
func (k *Keeper) Changes() uint64 { return k.changed.Version() }

// Settled notes that a new term was adopted, which settles starts without an
// answer once workers have seen it.
func (k *Keeper) Settled() { k.needsTerm = false }

// WantsTerm reports whether a start can only be settled by a later term.
func (k *Keeper) WantsTerm() bool { return k.needsTerm }
