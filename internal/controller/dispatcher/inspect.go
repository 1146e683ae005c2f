package dispatcher

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
)

// Attempt is the state of one attempt on a machine, for inspection.
type Attempt struct {
	message.TaskRef
	Sent               bool // a start was sent: the attempt may be on the machine
	Present            bool // the worker has listed the attempt
	Ended              bool
	Kill               bool          // the worker is to kill the attempt
	Forget             bool          // the worker may forget the ended attempt
	DirectFencingToken protocol.Term // latest fencing token of a direct start; 0 if there was none
	StartResent        bool          // the start was sent again by another path
	StartInLastReply   bool          // the reply to the latest heartbeat contains the start
}

// Attempts lists the attempts that wait for a machine or are on it, in order of their
// tasks; nil if the machine is not held here.
func (d *Dispatcher) Attempts(id protocol.MachineID) (list []Attempt) {
	q := d.queues.get(id)
	if q == nil {
		return nil
	}
	for _, e := range ordered.Tasks(q.entries) {
		list = append(list, Attempt{
			TaskRef:            message.TaskRef{Task: e.task, Attempt: e.attempt, Machine: id},
			Sent:               e.sent,
			Present:            e.present,
			Ended:              e.ended(),
			Kill:               e.kill,
			Forget:             e.forget,
			DirectFencingToken: e.directFencingToken,
			StartResent:        e.startResent,
			StartInLastReply:   e.startInLastReply,
		})
	}
	return list
}

// Machines lists the machines held here, ordered by name.
func (d *Dispatcher) Machines() (ids []protocol.MachineID) {
	for _, q := range d.queues.inOrder() {
		ids = append(ids, q.id)
	}
	return ids
}

// PublishedState returns the state of a machine that is sent to peers; false if the machine
// is not held here.
func (d *Dispatcher) PublishedState(id protocol.MachineID) (message.MachineState, bool) {
	q := d.queues.get(id)
	if q == nil {
		return message.MachineState{}, false
	}
	return q.publishedState(), true
}

// InventoriedMachines returns the number of registered machines held here whose inventory
// is known: their workers have listed their attempts.
func (d *Dispatcher) InventoriedMachines() (n int) {
	for _, q := range d.queues.byMachine {
		if q.inventoryKnown && q.recordVersion != 0 {
			n++
		}
	}
	return n
}

// LastHandledPlace returns the number of the last Place message of an owner whose
// placements were queued or refused here; 0 if there is none.
func (d *Dispatcher) LastHandledPlace(owner protocol.NodeName) uint64 { return d.handledPlaces[owner] }

// MachinesChangedSince lists the machines whose published state has changed since a version
// of this term's change log, up to a maximum number of machines, and returns the version
// that the list covers.
func (d *Dispatcher) MachinesChangedSince(from uint64, limit int) ([]protocol.MachineID, uint64) {
	return d.changes.Since(from, limit)
}

// ChangeLogVersion returns the current version of this term's change log: the number of its
// last change, 0 before the first.
func (d *Dispatcher) ChangeLogVersion() uint64 { return d.changes.Version() }

// NeedsNewTerm reports whether a direct start can only be fenced by a later term, since there
// are no shards whose fencing tokens could be issued.
func (d *Dispatcher) NeedsNewTerm() bool { return d.newTermNeeded }

// ShardsHeld returns the number of shards that this controller holds.
func (d *Dispatcher) ShardsHeld() int { return d.shards.countHeld() }
