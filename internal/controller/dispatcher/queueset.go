package dispatcher

import (
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/protocol"
)

// queueSet holds the queues of a dispatcher's machines.
type queueSet struct {
	byMachine map[protocol.MachineID]*queue
	sorted    []*queue // by machine; nil: to be sorted again
}

func newQueueSet() queueSet {
	return queueSet{byMachine: map[protocol.MachineID]*queue{}}
}

// get returns the queue of a machine; nil if it is not held here.
func (s *queueSet) get(id protocol.MachineID) *queue { return s.byMachine[id] }

// inOrder lists the queues by their machines' names. The list stays valid for a caller
// that adds or drops queues while it goes through it.
func (s *queueSet) inOrder() []*queue {
	if s.sorted == nil {
		for _, q := range ordered.Of(s.byMachine) {
			s.sorted = append(s.sorted, q)
		}
	}
	return s.sorted
}

func (s *queueSet) add(q *queue) {
	s.byMachine[q.id] = q
	s.sorted = nil
}

func (s *queueSet) remove(id protocol.MachineID) {
	delete(s.byMachine, id)
	s.sorted = nil
}

// addQueue begins to hold a machine of a zone. The zone is set from the first: a queue
// taken for one of another shard would not be dropped with its shard, and its machine
// would be taken for silent.
func (d *Dispatcher) addQueue(id protocol.MachineID, zone protocol.Zone) *queue {
	q := newQueue(d.environment, id, zone)
	q.agentEpoch = d.agentEpochFloor[id]
	d.queues.add(q)
	q.touch()
	return q
}

// dropQueue ends holding a machine.
func (d *Dispatcher) dropQueue(id protocol.MachineID) {
	d.queues.remove(id)
	d.changes.Drop(id)
}

// environment is what a dispatcher and the queues of its machines share.
type environment struct {
	clusterstate.Module
	// changes lists the machines whose published state has changed in this term.
	changes replication.ChangeLog[protocol.MachineID]
	direct  directSchedule
	shards  shardSet
	// newTermNeeded is set while an unanswered direct start can only be settled by a
	// later term.
	newTermNeeded bool
}

func newEnvironment(module clusterstate.Module) *environment {
	return &environment{Module: module, shards: newShardSet(module)}
}
