package coordination

import (
	"damsonkeel/internal/bookkeeping"
	"damsonkeel/internal/coordination/inorder"
	"damsonkeel/internal/coordination/known"
	"damsonkeel/internal/coordination/message"
	"damsonkeel/internal/coordination/relay"
	"damsonkeel/internal/coordination/room"
	"damsonkeel/internal/protocol"
	"fmt"
	"strings"
)

// keeper keeps the queues of the machines that report to this controller.
type keeper struct {
	known.Part
	queues map[protocol.MachineID]*queue
	kept   []*queue // the queues in order of their machines' names; nil: to be sorted again
	// stockDue are queues kept without a break whose inventories of this term
	// may be given at once.
	stockDue []*queue
	pushing  []*queue // with commands that may go out at once
	// allSince is since when this controller has acted and known that all act
	// by this term; 0: not now. See expireSilent.
	allSince Time
	// sessionFloor is the first session of a machine that may be alive: a
	// report of an earlier one was held back by the network.
	sessionFloor map[protocol.MachineID]protocol.Session
	order        uint64                       // of the last attempt queued
	handled      map[protocol.NodeName]uint64 // number of the last Place handled, by owner
	changed      relay.Log[protocol.MachineID]
	needsTerm    bool // a start can only be settled by a later term
}

func newKeeper(p known.Part) *keeper {
	k := &keeper{Part: p}
	k.reset()
	return k
}

// reset forgets everything a session knew.
func (k *keeper) reset() {
	*k = keeper{Part: k.Part}
	k.queues, k.sessionFloor = map[protocol.MachineID]*queue{}, map[protocol.MachineID]protocol.Session{}
	k.handled = map[protocol.NodeName]uint64{}
}

// levelOf tells the level of a job, if its owner has told it.
type levelOf func(protocol.JobID) (room.Level, bool)

// drop forgets all queues: this controller is not in the view.
func (k *keeper) drop() {
	k.queues, k.kept, k.pushing = map[protocol.MachineID]*queue{}, nil, nil
}

// forgetOwners forgets what was counted of owners that have another session in
// the present view than in an earlier one.
func (k *keeper) forgetOwners(old bookkeeping.View) {
	for name := range k.handled {
		if !known.SameSession(old, k.View, name) {
			delete(k.handled, name)
		}
	}
}

// begin begins a new term's stream of what changes, with all there is as changed,
// and the inventories of queues kept without a break.
func (k *keeper) begin() {
	k.changed = relay.Log[protocol.MachineID]{}
	k.touchAll()
}

// touchAll notes that what others are told of every machine has changed.
func (k *keeper) touchAll() {
	for _, q := range k.queuesInOrder() {
		k.touch(q)
	}
}

// stateOfMachine is what others are told of a machine, if it is kept here.
func (k *keeper) stateOfMachine(id protocol.MachineID) (message.MachineState, bool) {
	q := k.queues[id]
	if q == nil {
		return message.MachineState{}, false
	}
	return k.stateOf(q), true
}

// resort has queues sorted again: when jobs are due has changed.
func (k *keeper) resort() {
	for _, q := range k.queues {
		q.sorted = false
	}
}

// regular is what is done once a relay period: others are stopped for what waits,
// and for what room is held for.
func (k *keeper) regular(level levelOf) {
	for _, q := range k.queuesInOrder() {
		k.preempt(q)
		k.learnLevels(q, level)
		k.clearHeld(q)
	}
}

// recorded takes over a machine's record.
func (k *keeper) recorded(m *known.Machine) {
	if q := k.queues[m.ID]; q != nil && q.session == m.Record.Session {
		q.epoch, q.registering = m.Epoch, false
		k.touch(q)
	} else if q == nil && k.Member() && k.Keeper(m.ID) == k.Self {
		k.keep(m.ID).registered(m)
	}
}

// recordGone: a machine's record was deleted, on proof that nothing is left.
func (k *keeper) recordGone(m *known.Machine) {
	k.sessionFloor[m.ID] = max(k.sessionFloor[m.ID], m.Record.Session+1)
	if q := k.queues[m.ID]; q != nil && q.session <= m.Record.Session {
		k.dropQueue(m.ID)
	}
}

// removalDone takes the outcome of a record's removal; the followed record says
// whether it has gone.
func (k *keeper) removalDone(id protocol.MachineID) {
	if q := k.queues[id]; q != nil {
		q.removing = false
	}
}

// jobOver: nothing of a job that is over may start or go on.
func (k *keeper) jobOver(id protocol.JobID) {
	for _, q := range inorder.Of(k.queues) {
		for _, e := range inorder.TasksWhere(q.entries, func(t protocol.TaskID, _ *entry) bool { return t.Job == id }) {
			if !e.sent && !e.present {
				k.dropWaiting(q, e)
				k.tell(q, e, message.WhatReleased)
			} else {
				k.wake(q) // killed or reaped now, or by the next answer
			}
		}
	}
}

// heard is how many machines kept are registered and known to have nothing but
// what is listed.
func (k *keeper) heard() (n int) {
	for _, q := range k.queues {
		if q.known && q.epoch != 0 {
			n++
		}
	}
	return n
}

// whereabouts tells what is kept of a job.
func (k *keeper) whereabouts(id protocol.JobID) string {
	var b strings.Builder
	for _, q := range k.queuesInOrder() {
		for _, e := range q.entries {
			if e.task.Job == id {
				fmt.Fprintf(&b, "  %s has on %s: %+v\n", k.Self, q.id, *e)
			}
		}
	}
	return b.String()
}
