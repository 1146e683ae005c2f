package dispatcher

import (
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
)

// maxCompletedMoves bounds the ended moves that are remembered until they are taken.
const maxCompletedMoves = 1000

// shardSet holds the state of the shards of the machines, beside their queues.
type shardSet struct {
	clusterstate.Module
	states    map[sharding.ID]*shardState
	incoming  map[sharding.ID]*incomingHandover
	completed []CompletedMove
	// changeDue is set while there may be a change of the shards' record to ask for.
	changeDue bool
}

// shardState is what a dispatcher knows of one shard in one shard epoch.
type shardState struct {
	id    sharding.ID
	epoch protocol.Term
	// exclusiveSince is since when all members are known to have followed the record by
	// which the shard came here: no controller answers its machines by an earlier one any
	// more. 0: not yet.
	exclusiveSince clock.Time
	// raiseAbove is the fencing token that an unanswered start was sent with: its worker
	// has to see a later one. 0: none.
	raiseAbove protocol.Term
	handover   *outgoingHandover // nil: it is not being handed over
}

// CompletedMove is a move of a shard that has ended.
type CompletedMove struct {
	Shard   sharding.ID
	Pause   time.Duration // for how long nothing was started on it
	Aborted bool
}

func newShardSet(module clusterstate.Module) shardSet {
	s := shardSet{Module: module}
	s.clear()
	return s
}

// clear drops the state of all shards.
func (s *shardSet) clear() {
	s.states = map[sharding.ID]*shardState{}
	s.incoming = map[sharding.ID]*incomingHandover{}
}

// byID returns the state of a shard in its present epoch.
func (s *shardSet) byID(id sharding.ID) *shardState {
	epoch := s.Shards.List[id].Since
	shard := s.states[id]
	if shard == nil || shard.epoch != epoch {
		shard = &shardState{id: id, epoch: epoch}
		s.states[id] = shard
	}
	return shard
}

// handingOver reports whether the shard of a machine is being handed over.
func (s *shardSet) handingOver(machine protocol.MachineID, zone protocol.Zone) bool {
	return s.Sharded() && s.byID(sharding.Of(s.Shards, machine, zone)).handover != nil
}

// isHeld reports whether this controller holds a shard in the epoch that a peer names.
func (s *shardSet) isHeld(t message.Tenured) bool {
	return s.Sharded() && t.Share >= 0 && t.Share < len(s.Shards.List) && s.Shards.List[t.Share].Since == t.Tenure &&
		s.Shards.List[t.Share].Holder == s.Session
}

// held counts the shards that this controller holds.
func (s *shardSet) held() (n int) {
	if !s.Sharded() {
		return 0
	}
	for _, shard := range s.Shards.List {
		if shard.Holder == s.Session {
			n++
		}
	}
	return n
}

// noteExclusive notes since when no controller acts by an earlier record of each shard,
// given up to which epoch all members have followed the records.
func (s *shardSet) noteExclusive(floor protocol.Term) {
	if !s.Sharded() || !s.HoldsLease() {
		return
	}
	for _, shard := range s.states {
		if shard.exclusiveSince == 0 && shard.epoch <= floor {
			shard.exclusiveSince = s.Now
		}
	}
}

// requestRaise asks for a fencing token of a shard above the one of an unanswered start.
func (s *shardSet) requestRaise(shard *shardState, above protocol.Term) {
	shard.raiseAbove, s.changeDue = above, true
}

// requestedChanges lists the shards to take, and those whose epoch has to rise.
func (s *shardSet) requestedChanges() (take, raise []sharding.ID) {
	if !s.changeDue || !s.Sharded() || !s.HoldsLease() {
		return nil, nil
	}
	s.changeDue = false
	return s.completeIncoming(), s.epochsToRaise()
}

// completeIncoming lists the shards that were handed over completely, and drops handovers
// that are void.
func (s *shardSet) completeIncoming() (complete []sharding.ID) {
	for id, handover := range ordered.Of(s.incoming) {
		if handover.epoch != s.Shards.List[id].Epoch || s.Since(handover.receivedAt) > incomingTimeout {
			delete(s.incoming, id)
			continue
		}
		if handover.missing == 0 {
			complete = append(complete, id)
		}
		s.changeDue = true // until it is taken, or void
	}
	return complete
}

// epochsToRaise lists the shards whose epoch has to rise, for an unanswered start or to
// give up a move.
func (s *shardSet) epochsToRaise() (raise []sharding.ID) {
	for id, shard := range ordered.Of(s.states) {
		assignment := &s.Shards.List[id]
		if assignment.Holder != s.Session || shard.epoch != assignment.Since {
			continue
		}
		unsettled := shard.raiseAbove != 0 && shard.raiseAbove >= assignment.Epoch
		overdue := shard.handover != nil && s.Since(shard.handover.beganAt) > handoverTimeout
		if unsettled || overdue {
			raise = append(raise, id)
		}
		s.changeDue = s.changeDue || unsettled || shard.handover != nil
	}
	return raise
}

// noteMove remembers that the handover of a shard has ended.
func (s *shardSet) noteMove(shard *shardState, givenUp bool) {
	move := CompletedMove{Shard: shard.id, Pause: s.Since(shard.handover.beganAt), Aborted: givenUp}
	s.completed = append(s.completed[max(0, len(s.completed)-maxCompletedMoves):], move)
	what := "share moved"
	if givenUp {
		what = "move given up"
	}
	s.Log.Info(what, "share", int(shard.id), "to", shard.handover.to, "cause", shard.handover.cause, "pause", move.Pause.Round(time.Millisecond))
}

// RequestedShardChanges lists the changes of the shards' record that this controller asks
// for: the shards handed over to it completely, to take, and those whose epoch has to
// rise, for an unanswered start or to give up a move.
func (d *Dispatcher) RequestedShardChanges() (take, raise []sharding.ID) {
	return d.shards.requestedChanges()
}

// TakeCompletedMoves returns the moves that have ended since it was called last.
func (d *Dispatcher) TakeCompletedMoves() []CompletedMove {
	completed := d.shards.completed
	d.shards.completed = nil
	return completed
}

// shardID is the shard of the queue's machine.
func (q *queue) shardID() sharding.ID { return sharding.Of(q.Shards, q.id, q.zone) }

// shard is the state of the shard of the queue's machine.
func (q *queue) shard() *shardState { return q.shards.byID(q.shardID()) }

// handingOver reports whether the queue is being handed over.
func (q *queue) handingOver() bool { return q.shards.handingOver(q.id, q.zone) }

// fencingToken is what commands to the machine carry.
func (q *queue) fencingToken() protocol.Term { return q.FencingToken(q.id, q.zone) }

// firstOwnFencingToken is the lowest token that proves that a worker was commanded by this
// dispatcher.
func (q *queue) firstOwnFencingToken() protocol.Term {
	if q.Sharded() {
		return q.ShardEpoch(q.id, q.zone)
	}
	return q.View.Term
}
