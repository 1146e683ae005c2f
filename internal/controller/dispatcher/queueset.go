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
	sorted    []*queue // by machine; nil if it has to be rebuilt
}

func newQueueSet() queueSet {
	return queueSet{byMachine: map[protocol.MachineID]*queue{}}
}

// get returns the queue of a machine; nil if the machine is not held here.
func (s *queueSet) get(id protocol.MachineID) *queue { return s.byMachine[id] }

// inOrder lists the queues ordered by machine name. The returned list stays valid while the
// caller adds or drops queues during the iteration.
func (s *queueSet) inOrder() []*queue {
	if s.sorted == nil {
		for _, q := range ordered.ByKey(s.byMachine) {
			s.sorted = append(s.sorted, q)
		}
	}
	return s.sorted
}

// add adds the queue of a machine, or replaces it.
func (s *queueSet) add(q *queue) {
	s.byMachine[q.id] = q
	s.sorted = nil
}

// remove removes the queue of a machine, if there is one.
func (s *queueSet) remove(id protocol.MachineID) {
	delete(s.byMachine, id)
	s.sorted = nil
}

// addQueue begins to hold a machine of a zone. The zone is set from the start because it
// determines the shard: with a wrong shard, the queue would not be dropped when its shard
// moves, and its machine would be considered silent.
func (d *Dispatcher) addQueue(id protocol.MachineID, zone protocol.Zone) *queue {
	q := newQueue(d.environment, id, zone)
	q.agentEpoch = d.agentEpochFloor[id]
	q.continueTokens()
	d.queues.add(q)
	q.markChanged()
	return q
}

// dropQueue stops holding a machine: it drops the queue with its attempts, without
// notifying their owners, and the machine's changes in the change log.
func (d *Dispatcher) dropQueue(id protocol.MachineID) {
	d.queues.remove(id)
	d.changes.Drop(id)
}

// environment is the state shared by a dispatcher and the queues of its machines.
type environment struct {
	clusterstate.Module
	// changes lists the machines whose published state has changed in this term.
	changes replication.ChangeLog[protocol.MachineID]
	direct  directSchedule
	shards  shardSet
	// statistics counts the commands to all workers.
	statistics statisticsLog
	// newTermNeeded is set while a direct start can only be fenced by a later term.
	newTermNeeded bool
}

func newEnvironment(module clusterstate.Module) *environment {
	return &environment{Module: module, shards: newShardSet(module)}
}
