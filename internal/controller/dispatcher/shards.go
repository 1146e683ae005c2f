package dispatcher

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
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
	return s.Sharded() && s.byID(sharding.ShardOf(s.Shards, machine, zone)).handover != nil
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
func (q *queue) shardID() sharding.ID { return sharding.ShardOf(q.Shards, q.id, q.zone) }

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

// AdoptShards goes over to a new record of the shards: those no longer held here are
// dropped, those assigned to this controller are taken, and what else has changed raises
// nothing but fencing tokens.
func (d *Dispatcher) AdoptShards(old *record.ShardTable) {
	lost, gained := map[sharding.ID]bool{}, map[sharding.ID]bool{}
	for i, now := range d.Shards.List {
		id := sharding.ID(i)
		was := record.ShardAssignment{}
		if old != nil && i < len(old.List) {
			was = old.List[i]
		}
		holds, held := now.Holder == d.Session, was.Holder == d.Session
		switch {
		case was.Since == now.Since && holds:
			if shard := d.shards.byID(id); shard.handover != nil && now.Epoch != was.Epoch {
				d.abortHandover(shard)
			}
		case was.Since == now.Since:
		case held && !holds:
			lost[id] = true
		case holds:
			gained[id] = true
		}
	}
	if len(lost) > 0 {
		d.loseShards(lost)
	}
	if len(gained) > 0 {
		d.takeShards(gained, old)
	}
	d.shards.dropVoidIncoming()
}

// dropVoidIncoming drops the incoming handovers of shards with which another controller
// goes on.
func (s *shardSet) dropVoidIncoming() {
	for id, handover := range s.incoming {
		if handover.epoch != s.Shards.List[id].Epoch {
			delete(s.incoming, id)
		}
	}
}

// loseShards drops the machines of shards that other controllers hold now, and forwards
// what was deferred for them.
func (d *Dispatcher) loseShards(lost map[sharding.ID]bool) {
	for _, q := range slices.Clone(d.queues.inOrder()) {
		if lost[q.shardID()] {
			d.dropQueue(q.id)
		}
	}
	for id := range ordered.Of(lost) {
		shard := d.shards.states[id]
		if shard == nil {
			continue
		}
		delete(d.shards.states, id)
		if shard.handover == nil {
			continue
		}
		d.shards.noteMove(shard, false)
		for _, m := range shard.handover.deferred {
			d.handleDeferred(m)
		}
	}
}

// endHandovers ends all handovers at a new view: a shard is taken in the view it was
// handed over in, or not at all, so what this controller holds still in the new one no
// other controller will take by what was handed over.
func (d *Dispatcher) endHandovers() {
	clear(d.shards.incoming)
	if !d.Sharded() {
		return
	}
	for id, shard := range ordered.Of(d.shards.states) {
		if d.Shards.List[id].Holder != d.Session || d.Shards.List[id].Since != shard.epoch {
			delete(d.shards.states, id)
		} else if shard.handover != nil {
			d.abortHandover(shard)
		}
	}
}
