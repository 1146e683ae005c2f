package membership

import (
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
)

const (
	// contactUpdates is after how many intervals of the regular state updates without
	// any a peer no longer counts as in contact.
	contactUpdates = 3
	// isolatedAfter is how long a controller without a lease that receives nothing from
	// any peer goes on accepting users' connections.
	isolatedAfter = 10 * time.Second
)

// peer is what is known of the present session of a member of the view.
type peer struct {
	session     protocol.LeaseID
	term        protocol.Term // the highest that it is known to have adopted
	shardsEpoch protocol.Term // the highest epoch of the shard table that it is known to have observed
	next        uint64        // number of the next message expected
	leaseHeldAt clock.Time    // when it last said that it holds its lease
	load        message.Load  // as it last said
	// firstContact and lastContact are when it first and last said its load.
	firstContact, lastContact clock.Time
}

// NoteLoad records the load that a peer, or this controller, reports of itself.
func (ms *Members) NoteLoad(name protocol.NodeName, load message.Load) {
	p := ms.peers[name]
	if p == nil {
		return
	}
	if p.firstContact == 0 {
		p.firstContact = ms.Now
	}
	p.load = load
	p.lastContact = ms.Now
}

// NoteLeading notes that a peer says that it holds its lease.
func (ms *Members) NoteLeading(name protocol.NodeName) {
	if p := ms.peers[name]; p != nil {
		p.leaseHeldAt = ms.Now
	}
}

// leaving reports whether a member is shutting down.
func (ms *Members) leaving(name protocol.NodeName) bool {
	p := ms.peers[name]
	return p != nil && p.load.Leaving
}

// recent reports whether a time is known and not longer ago than a peer in contact
// takes for its next state update.
func (ms *Members) recent(at clock.Time) bool {
	return at != 0 && ms.Since(at) < contactUpdates*ms.Op.ReplicationInterval
}

// Received accepts a peer's batch and returns the messages in it that are new. Batches
// of sessions that have ended are dropped: the network may deliver them minutes late.
func (ms *Members) Received(batch message.Batch) (fresh []message.PeerMessage) {
	reply := ms.classify(&batch)
	if reply == message.BatchAccepted {
		p := ms.peers[batch.From]
		p.term = max(p.term, batch.Term)
		p.shardsEpoch = max(p.shardsEpoch, batch.Shares)
		if batch.First > p.next {
			reply = message.BatchStale // a gap: this can't be the same stream
		} else if known := p.next - batch.First; known < uint64(len(batch.Messages)) {
			fresh = batch.Messages[known:]
			p.next += uint64(len(fresh))
		}
	}
	ms.Emit(message.ReplyBatch{Reply: reply})
	return fresh
}

// classify decides by its sessions and its term whether a batch is accepted.
func (ms *Members) classify(batch *message.Batch) message.BatchReply {
	if batch.ToSession != ms.Session {
		return message.BatchStale
	}
	switch {
	case batch.Term > ms.View.Term || batch.Shares > ms.ShardTableEpoch():
		return message.BatchBehind
	case ms.Member() && ms.View.Members[batch.From] == batch.FromSession:
		return message.BatchAccepted
	case ms.HoldsLease():
		return message.BatchExcluded
	}
	return message.BatchStale
}

// AllAdopted reports whether every member is known to have adopted this term, so that
// none answers workers by an older one any more.
func (ms *Members) AllAdopted() bool {
	for _, p := range ms.peers {
		if p.term < ms.View.Term {
			return false
		}
	}
	return true
}

// ObservedShardEpoch is the epoch of the shard table that all other members are known to have
// observed.
func (ms *Members) ObservedShardEpoch() protocol.Term {
	floor := ms.ShardTableEpoch()
	for name, p := range ms.peers {
		if name != ms.Self {
			floor = min(floor, p.shardsEpoch)
		}
	}
	return floor
}

// LeadingPeers lists the other controllers that are known to hold their leases now.
// They say so in their state updates, and to a controller that is excluded from their
// view in their replies to its batches.
func (ms *Members) LeadingPeers() []protocol.NodeName {
	var names []protocol.NodeName
	for name, p := range ordered.Of(ms.peers) {
		if name != ms.Self && ms.recent(p.leaseHeldAt) {
			names = append(names, name)
		}
	}
	return names
}

// OthersLead reports whether another controller is known to hold its lease now. If one
// does while this controller does not, then the key-value store refuses this controller
// alone; otherwise the store is down for all, or no peer can be reached.
func (ms *Members) OthersLead() bool { return len(ms.LeadingPeers()) > 0 }

// ShouldWaitOut reports whether this controller, while it does not hold its lease,
// should keep its users' connections and wait: no other controller is known to hold a
// lease, and it is in contact with peers that would say so. A controller that is cut
// off from the store and from all peers can't know, and its users would have no answer
// for as long as that lasts, so it waits for a moment only.
func (ms *Members) ShouldWaitOut() bool {
	if ms.OthersLead() {
		return false
	}
	alone := true
	for name, p := range ms.peers {
		if name == ms.Self {
			continue
		}
		alone = false
		if ms.recent(p.lastContact) {
			return true
		}
	}
	return alone || ms.Since(ms.LeaseDeadline) < isolatedAfter
}
