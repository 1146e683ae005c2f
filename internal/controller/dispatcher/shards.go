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

// maxCompletedMoves is the maximum number of completed moves kept until TakeCompletedMoves
// is called.
const maxCompletedMoves = 1000

// shardSet holds the state of the shards that is separate from the queues of their
// machines: this controller's state of each shard, the incoming handovers and the ended
// ones.
type shardSet struct {
	clusterstate.Module
	states    map[sharding.ID]*shardState
	incoming  map[sharding.ID]*incomingHandover
	completed []CompletedMove
	// changeDue is set while a change of the shard record may have to be requested.
	changeDue bool
	// tokensRequested is set while shards whose fencing tokens run out wait for more.
	tokensRequested bool
}

// shardState is a dispatcher's state of one shard in one shard epoch.
type shardState struct {
	id    sharding.ID
	epoch protocol.Term
	// exclusiveSince is the time since which all members are known to have applied the
	// record that assigned the shard to this controller. From then on no controller answers
	// its machines by an earlier record. 0 if that does not hold yet.
	exclusiveSince clock.Time
	// highestIssued is the highest fencing token issued to any machine of the shard; 0 if
	// none was issued since the shard was taken over.
	highestIssued protocol.Term
	handover      *outgoingHandover // nil if the shard is not being handed over
}

// CompletedMove describes the handover of a shard that has ended.
type CompletedMove struct {
	Shard   sharding.ID
	Pause   time.Duration // how long no attempts were started on the shard
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

// byID returns the state of a shard in its current epoch, and creates it if necessary.
func (s *shardSet) byID(id sharding.ID) *shardState {
	epoch := s.Shards.List[id].Since
	shard := s.states[id]
	if shard == nil || shard.epoch != epoch {
		shard = &shardState{id: id, epoch: epoch}
		s.states[id] = shard
	}
	return shard
}

// handingOver reports whether this controller is handing over the shard of a machine in a
// zone.
func (s *shardSet) handingOver(machine protocol.MachineID, zone protocol.Zone) bool {
	return s.Sharded() && s.byID(sharding.ShardOf(s.Shards, machine, zone)).handover != nil
}

// isHeld reports whether this controller holds a shard in the epoch that a peer's message
// names.
func (s *shardSet) isHeld(tenured message.Tenured) bool {
	return s.Sharded() && tenured.Share >= 0 && tenured.Share < len(s.Shards.List) && s.Shards.List[tenured.Share].Since == tenured.Tenure &&
		s.Shards.List[tenured.Share].Holder == s.Session
}

// countHeld returns the number of shards that this controller holds.
func (s *shardSet) countHeld() (n int) {
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

// recordExclusive sets exclusiveSince to the present time for each shard that has none yet
// and whose assignment all members have applied. The argument is the highest shard epoch up
// to which all members have applied the shard table.
func (s *shardSet) recordExclusive(adoptedEpoch protocol.Term) {
	if !s.Sharded() || !s.HoldsLease() {
		return
	}
	for _, shard := range s.states {
		if shard.exclusiveSince == 0 && shard.epoch <= adoptedEpoch {
			shard.exclusiveSince = s.Now
		}
	}
}

// requestedChanges lists the shards that this controller should take, since they were
// completely handed over to it, and the shards whose epoch number has to rise. Both are nil without shards or without the lease.
func (s *shardSet) requestedChanges() (take, raise []sharding.ID) {
	if !s.changeDue || !s.Sharded() || !s.HoldsLease() {
		return nil, nil
	}
	s.changeDue = false
	return s.completeIncoming(), s.epochsToRaise()
}

// completeIncoming lists the shards whose incoming handovers are complete, and drops
// handovers of a shard whose epoch number in the shard table has changed and those without
// a new piece for incomingTimeout.
func (s *shardSet) completeIncoming() (complete []sharding.ID) {
	for id, handover := range ordered.ByKey(s.incoming) {
		if handover.epoch != s.Shards.List[id].Epoch || s.Since(handover.receivedAt) > incomingTimeout {
			delete(s.incoming, id)
			continue
		}
		if handover.missingPieces == 0 {
			complete = append(complete, id)
		}
		s.changeDue = true // until the shard is taken or the handover is dropped
	}
	return complete
}

// epochsToRaise lists the shards held here whose epoch number in the shard table has to rise:
// to abort a handover that has taken longer than handoverTimeout, or because their fencing
// tokens run out. A handover is not disturbed for the latter: its target brings new tokens.
func (s *shardSet) epochsToRaise() (raise []sharding.ID) {
	runningOut := false
	for id, shard := range ordered.ByKey(s.states) {
		assignment := &s.Shards.List[id]
		if assignment.Holder != s.Session || shard.epoch != assignment.Since {
			continue
		}
		handingOver := shard.handover != nil
		scarce := s.tokensRequested && !handingOver && shard.tokensLeft(assignment.Epoch) < tokenReserve
		overdue := handingOver && s.Since(shard.handover.beganAt) > handoverTimeout
		if scarce || overdue {
			raise = append(raise, id)
		}
		runningOut = runningOut || scarce
		s.changeDue = s.changeDue || scarce || handingOver
	}
	s.tokensRequested = runningOut
	return raise
}

// recordMove logs that the handover of a shard has ended, and keeps its duration for
// TakeCompletedMoves.
func (s *shardSet) recordMove(shard *shardState, aborted bool) {
	move := CompletedMove{Shard: shard.id, Pause: s.Since(shard.handover.beganAt), Aborted: aborted}
	s.completed = append(s.completed[max(0, len(s.completed)-maxCompletedMoves):], move)
	text := "shard moved"
	if aborted {
		text = "shard handover aborted"
	}
	s.Log.Info(text, "share", int(shard.id), "to", shard.handover.to, "cause", shard.handover.cause, "pause", move.Pause.Round(time.Millisecond))
}

// RequestedShardChanges lists the changes of the shard record that this controller
// requests: the shards to take, which were completely handed over to it, and the shards
// whose epoch number has to rise to provide fencing tokens or to abort a handover.
func (d *Dispatcher) RequestedShardChanges() (take, raise []sharding.ID) {
	return d.shards.requestedChanges()
}

// TakeCompletedMoves returns the moves that have ended since the previous call.
func (d *Dispatcher) TakeCompletedMoves() []CompletedMove {
	completed := d.shards.completed
	d.shards.completed = nil
	return completed
}

// shardID returns the id of the shard of the queue's machine.
func (q *queue) shardID() sharding.ID { return sharding.ShardOf(q.Shards, q.id, q.zone) }

// shard returns this controller's state of the shard of the queue's machine.
func (q *queue) shard() *shardState { return q.shards.byID(q.shardID()) }

// handingOver reports whether the shard of the queue's machine is being handed over.
func (q *queue) handingOver() bool { return q.shards.handingOver(q.id, q.zone) }

// firstOwnFencingToken returns the lowest token that proves that a worker was commanded by
// this dispatcher.
func (q *queue) firstOwnFencingToken() protocol.Term {
	if q.Sharded() {
		return q.ShardEpoch(q.id, q.zone)
	}
	return q.View.Term
}

// AdoptShards applies a new shard table, given the previous one. The queues of shards that
// are no longer held here are dropped, and the machines of shards newly assigned to this
// controller get queues. If the epoch number of a shard rose but its holder stays, there
// are more fencing tokens to issue, and a handover of it in progress is aborted.
func (d *Dispatcher) AdoptShards(old *record.ShardTable) {
	lost, gained := map[sharding.ID]bool{}, map[sharding.ID]bool{}
	for i, current := range d.Shards.List {
		id := sharding.ID(i)
		previous := record.ShardAssignment{}
		if old != nil && i < len(old.List) {
			previous = old.List[i]
		}
		holdsNow, heldBefore := current.Holder == d.Session, previous.Holder == d.Session
		switch {
		case previous.Since == current.Since && holdsNow:
			if shard := d.shards.byID(id); shard.handover != nil && current.Epoch != previous.Epoch {
				d.abortHandover(shard)
			}
		case previous.Since == current.Since:
		case heldBefore && !holdsNow:
			lost[id] = true
		case holdsNow:
			gained[id] = true
		}
	}
	if len(lost)+len(gained) > 0 {
		d.Log.Info("shards changed hands", "gained", len(gained), "lost", len(lost), "held", d.ShardsHeld(), "table_epoch", d.Shards.Epoch, "revision", d.ObservedRevision)
	}
	if len(lost) > 0 {
		d.dropLostShards(lost)
	}
	if len(gained) > 0 {
		d.acquireShards(gained, old)
	}
	d.shards.dropVoidIncoming()
}

// dropVoidIncoming drops the incoming handovers of shards whose epoch number in the shard
// table has changed: the handover is void, and the shard's holder continues with it.
func (s *shardSet) dropVoidIncoming() {
	for id, handover := range s.incoming {
		if handover.epoch != s.Shards.List[id].Epoch {
			delete(s.incoming, id)
		}
	}
}

// dropLostShards drops the machines of shards that other controllers now hold, and
// forwards the messages that were deferred during their handovers.
func (d *Dispatcher) dropLostShards(lost map[sharding.ID]bool) {
	for _, q := range slices.Clone(d.queues.inOrder()) {
		if lost[q.shardID()] {
			d.dropQueue(q.id)
		}
	}
	for id := range ordered.ByKey(lost) {
		shard := d.shards.states[id]
		if shard == nil {
			continue
		}
		delete(d.shards.states, id)
		if shard.handover == nil {
			continue
		}
		d.shards.recordMove(shard, false)
		for _, m := range shard.handover.deferred {
			d.handleDeferred(m)
		}
	}
}

// endHandovers aborts all outgoing handovers and drops all incoming ones at a new view, and
// drops the state of shards not held here. A shard is taken in the view in which it was
// handed over or not at all, so no other controller will take a shard that this controller
// still holds in the new view from the state it handed over.
func (d *Dispatcher) endHandovers() {
	clear(d.shards.incoming)
	if !d.Sharded() {
		return
	}
	for id, shard := range ordered.ByKey(d.shards.states) {
		if d.Shards.List[id].Holder != d.Session || d.Shards.List[id].Since != shard.epoch {
			delete(d.shards.states, id)
		} else if shard.handover != nil {
			d.abortHandover(shard)
		}
	}
}
