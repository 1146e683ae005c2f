package membership

import (
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
)

const (
	// contactIntervals is the number of replication intervals after which a peer that has
	// sent no state update no longer counts as in contact, and its report that it holds its
	// lease no longer counts as recent.
	contactIntervals = 3
	// isolationTimeout is how long after the end of its lease a controller that receives
	// nothing from any peer still accepts users' connections.
	isolationTimeout = 10 * time.Second
)

// peer is what this controller has received from the current session of a member of the view.
type peer struct {
	session             protocol.LeaseID
	adoptedTerm         protocol.Term // highest term whose view it has reported to have adopted
	observedShardsEpoch protocol.Term // highest epoch of the shard table that it has reported to have observed
	nextMessage         uint64        // number of the next message expected from it
	leaseHeldAt         clock.Time    // when it last reported that it holds its lease
	load                message.Load  // load that it last reported
	// firstContact and lastContact are when it first and last reported its load.
	firstContact, lastContact clock.Time
}

// NoteLoad records the load that a peer, or this controller itself, has reported in a state
// update, and that the member is in contact now. It ignores controllers that are not members.
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

// NoteHoldsLease records that a peer has reported now that it holds its lease. It ignores
// controllers that are not members.
func (ms *Members) NoteHoldsLease(name protocol.NodeName) {
	if p := ms.peers[name]; p != nil {
		p.leaseHeldAt = ms.Now
	}
}

// leaving reports whether a member has reported that it is shutting down.
func (ms *Members) leaving(name protocol.NodeName) bool {
	p := ms.peers[name]
	return p != nil && p.load.Leaving
}

// isRecent reports whether a time is set and less than contactIntervals replication intervals
// ago: a peer in contact sends its next state update within that time.
func (ms *Members) isRecent(at clock.Time) bool {
	return at != 0 && ms.Since(at) < contactIntervals*ms.Operator.ReplicationInterval
}

// AcceptBatch emits the reply to a peer's batch (see classify) and returns the messages in it
// that were not received before; there are none unless the reply is BatchAccepted. Batches of
// sessions that have ended are dropped: the network may deliver them minutes late.
func (ms *Members) AcceptBatch(batch message.Batch) (newMessages []message.PeerMessage) {
	reply := ms.classify(&batch)
	if reply == message.BatchAccepted {
		p := ms.peers[batch.From]
		p.adoptedTerm = max(p.adoptedTerm, batch.Term)
		p.observedShardsEpoch = max(p.observedShardsEpoch, batch.Shares)
		if batch.First > p.nextMessage {
			reply = message.BatchStale // a gap in the numbers: the batch belongs to another stream
		} else if duplicates := p.nextMessage - batch.First; duplicates < uint64(len(batch.Messages)) {
			newMessages = batch.Messages[duplicates:]
			p.nextMessage += uint64(len(newMessages))
		}
	}
	ms.Emit(message.ReplyBatch{Reply: reply})
	return newMessages
}

// classify returns the reply to a batch. A batch that is not for the current session of this
// controller is stale. If the sender has observed a later view or shard table, this controller
// is behind, and the sender sends the batch again. Otherwise the batch is accepted if this
// controller and the sender's session are members of the view. If not, the reply states
// whether this controller holds its lease (excluded) or not (stale).
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

// AllAdoptedTerm reports whether every member has reported that it adopted the view of the
// current term, so that no member answers workers by an older term any more.
func (ms *Members) AllAdoptedTerm() bool {
	for _, p := range ms.peers {
		if p.adoptedTerm < ms.View.Term {
			return false
		}
	}
	return true
}

// ObservedShardEpoch returns the highest epoch of the shard table that this controller has
// observed and all other members have reported to have observed.
func (ms *Members) ObservedShardEpoch() protocol.Term {
	floor := ms.ShardTableEpoch()
	for name, p := range ms.peers {
		if name != ms.Self {
			floor = min(floor, p.observedShardsEpoch)
		}
	}
	return floor
}

// PeersHoldingLease lists the other members of this controller's view that have reported
// within the last contactIntervals replication intervals that they hold their leases, in order
// of their names. They report it in their state updates, and to a controller that is
// excluded from their view in their replies to its batches.
func (ms *Members) PeersHoldingLease() []protocol.NodeName {
	var names []protocol.NodeName
	for name, p := range ordered.ByKey(ms.peers) {
		if name != ms.Self && ms.isRecent(p.leaseHeldAt) {
			names = append(names, name)
		}
	}
	return names
}

// AnyPeerHoldsLease reports whether another member has reported within the last
// contactIntervals replication intervals that it holds its lease. If one holds its lease while
// this controller does not, the key-value store refuses only this controller; otherwise the
// store is down for all controllers, or no peer can be reached.
func (ms *Members) AnyPeerHoldsLease() bool { return len(ms.PeersHoldingLease()) > 0 }

// ShouldWaitForLease reports whether this controller, while it does not hold its lease,
// should keep its users' connections and wait until it holds one again. It should if no
// other controller has reported that it holds a lease, and either there are no peers or
// a peer is in contact and would report it. A controller that is cut off from the store
// and from all peers can't detect whether another one holds a lease, and its users would
// get no answer for as long as the cut lasts, so it waits for isolationTimeout only.
func (ms *Members) ShouldWaitForLease() bool {
	if ms.AnyPeerHoldsLease() {
		return false
	}
	hasNoPeers := true
	for name, p := range ms.peers {
		if name == ms.Self {
			continue
		}
		hasNoPeers = false
		if ms.isRecent(p.lastContact) {
			return true
		}
	}
	return hasNoPeers || ms.Since(ms.LeaseDeadline) < isolationTimeout
}
