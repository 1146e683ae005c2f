// Package membership decides who takes part: which controllers are present, when
// the view changes, which of them workers can't reach, and what of a peer's
// runSession is new.
package membership

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

// Members is who takes part: this controller's and the others' presence in the
// records, the view and when it is to change, and the peers' sessions.
type Members struct {
	clusterstate.Module
	nodes   map[protocol.NodeName]record.Node // present in the records
	writing bool                              // a view
	retry   clock.Time                        // nothing is written before
	// wrote is the version of the record of shares that a change was written on, and
	// when: until it is followed nothing else is.
	wrote          protocol.Version
	wroteAt        clock.Time
	balancer       sharding.Balancer
	requestedMoves []sharding.Move // reportedBy operators
	reachability   reachability
	peers          map[protocol.NodeName]*peerLink
}

// peerLink is what is known of another controller's present session.
type peerLink struct {
	session     protocol.LeaseID
	term        protocol.Term // highest it is known to have adopted
	shardsEpoch protocol.Term // epoch of the record of shares that it is known to have followed
	next        uint64        // placeNumber of the next message expected
	leaseHeldAt clock.Time    // when it last said that it may act
	load        message.Load  // what it says of itself
	// heardFirst and heardAt are when it first and last did.
	heardFirst, heardAt clock.Time
}

// ViewTag marks the transaction that writes a view.
type ViewTag struct{}

// New knows nobody yet.
func New(p clusterstate.Module) *Members {
	ms := &Members{Module: p}
	ms.Reset()
	return ms
}

// Reset forgets everything a session knew.
func (ms *Members) Reset() {
	*ms = Members{Module: ms.Module, nodes: map[protocol.NodeName]record.Node{}, reachability: newReachability(), peers: map[protocol.NodeName]*peerLink{}}
}

// Present takes over that a controller is in the records.
func (ms *Members) Present(name protocol.NodeName, n record.Node) { ms.nodes[name] = n }

// Absent takes over that a controller's record has gone with its lease.
func (ms *Members) Absent(name protocol.NodeName) { delete(ms.nodes, name) }

// Outdated lists the controllers that are present and kept out of the view, since
// they don't know its layout.
func (ms *Members) Outdated() []protocol.NodeName {
	var names []protocol.NodeName
	for name, n := range ordered.Of(ms.nodes) {
		if max(n.Layout, record.LayoutSingle) < ms.View.Layout {
			names = append(names, name)
		}
	}
	return names
}

// BlockingLayout lists the controllers that are present and know no layout as late as
// another one: while they are, it does not come into use.
func (ms *Members) BlockingLayout(layout record.Layout) []protocol.NodeName {
	var names []protocol.NodeName
	for name, n := range ordered.Of(ms.nodes) {
		if n.Layout < layout {
			names = append(names, name)
		}
	}
	return names
}

// IsPresent reports whether a controller is in the records.
func (ms *Members) IsPresent(name protocol.NodeName) bool {
	_, is := ms.nodes[name]
	return is
}

// ViewWritten takes the outcome of writing a view.
func (ms *Members) ViewWritten(out message.Outcome) {
	ms.writing = false
	if out != message.OutcomeDone {
		ms.retry = ms.After(300 * time.Millisecond)
	}
}

// NoteLeading notes that a peer says it may act.
func (ms *Members) NoteLeading(name protocol.NodeName) {
	if p := ms.peers[name]; p != nil {
		p.leaseHeldAt = ms.Now
	}
}

// Adopt takes over a new view.
func (ms *Members) Adopt(v record.View, version protocol.Version) {
	ms.View, ms.ViewVersion = v, version
	clear(ms.DispatcherCache)
	ms.retry = 0
	for name, p := range ms.peers {
		if v.Members[name] != p.session {
			delete(ms.peers, name)
		}
	}
	for name, session := range v.Members {
		if ms.peers[name] == nil {
			ms.peers[name] = &peerLink{session: session}
		}
	}
	if p := ms.peers[ms.Self]; p != nil {
		p.term = v.Term
	}
	ms.reachability.adopted(v, ms.Self, ms.Now)
}

// AdoptShards takes over a record of the shares.
func (ms *Members) AdoptShards(s *record.ShardTable, version protocol.Version) {
	ms.Shards, ms.ShardsVersion = s, version
}

// Check raises the term when the view does not name exactly the
// controllers that are present in the records, or when it is asked for. A
// controller whose connection is refused stays; only a lapsed lease removes it.
func (ms *Members) Check(raise bool) {
	if ms.Session == 0 || ms.Now >= ms.LeaseDeadline || ms.writing || ms.Now < ms.retry {
		return
	}
	want, layout := ms.desiredMembers()
	if want[ms.Self] != ms.Session {
		return // not present itself: it has no say
	}
	deaf := ms.unreachableNodes(want)
	if sameMembers(want, ms.View.Members) && layout == ms.View.Layout && slices.Equal(deaf, ms.View.Deaf) && !raise && (layout < record.LayoutShards || ms.Shards != nil) {
		return
	}
	ms.writing = true
	next := record.View{Term: ms.View.Term + 1, Members: want, Deaf: deaf, Layout: layout}
	txn := protocol.Transaction{Conditions: []protocol.Condition{{Key: record.ViewKey, Version: ms.ViewVersion}}}
	if layout >= record.LayoutShards {
		// In one transaction, so that nobody's share is nobody's. The shares come
		// first: who follows them knows who keeps what when the view arrives.
		txn.Conditions = append(txn.Conditions, protocol.Condition{Key: record.ShardTableKey, Version: ms.ShardsVersion})
		if shares := ms.shardsFor(next); shares != nil {
			txn.Changes = append(txn.Changes, protocol.Change{Put: record.ShardTableKey, Value: *shares})
		}
	}
	txn.Changes = append(txn.Changes, protocol.Change{Put: record.ViewKey, Value: next})
	ms.Emit(message.Commit{Tag: ViewTag{}, Txn: txn})
}

// desiredMembers is who should be in the view, and how machines are recorded then:
// in the latest way that all of them know. Once it is in use, who does not know
// it stays out: it would miss machines that may hold tasks.
func (ms *Members) desiredMembers() (map[protocol.NodeName]protocol.LeaseID, record.Layout) {
	want := map[protocol.NodeName]protocol.LeaseID{}
	least := record.LatestLayout
	for name, n := range ms.nodes {
		l := max(n.Layout, record.LayoutSingle)
		if l < ms.View.Layout {
			continue
		}
		want[name] = n.Session
		least = min(least, l)
	}
	return want, max(least, ms.View.Layout)
}

func sameMembers(a, b map[protocol.NodeName]protocol.LeaseID) bool {
	if len(a) != len(b) {
		return false
	}
	for n, s := range a {
		if b[n] != s {
			return false
		}
	}
	return true
}

// Received takes a peer's batch, and returns what is new in it. Batches of ended
// runSessions are dropped: the network may hold them back for minutes.
func (ms *Members) Received(b message.Batch) (fresh []message.PeerMessage) {
	reply := ms.classify(&b)
	if reply == message.BatchAccepted {
		p := ms.peers[b.From]
		p.term, p.shardsEpoch = max(p.term, b.Term), max(p.shardsEpoch, b.Shares)
		if b.First > p.next {
			reply = message.BatchStale // a gap: this can't be the same stream
		} else if have := p.next - b.First; have < uint64(len(b.Messages)) {
			fresh = b.Messages[have:]
			p.next += uint64(len(fresh))
		}
	}
	ms.Emit(message.ReplyBatch{Reply: reply})
	return fresh
}

// classify is what becomes of a batch by its sessions and its term.
func (ms *Members) classify(b *message.Batch) message.BatchReply {
	ours := b.ToSession == ms.Session
	switch between := ours && ms.Member() && ms.View.Members[b.From] == b.FromSession; {
	case ours && (b.Term > ms.View.Term || b.Shares > ms.ShardTableEpoch()):
		return message.BatchBehind
	case between:
		return message.BatchAccepted
	case ours && ms.HoldsLease():
		return message.BatchExcluded
	}
	return message.BatchStale
}

// AllAdopted reports whether every member is known to act on this term, so
// that nobody answers workers by an older one any more.
func (ms *Members) AllAdopted() bool {
	for _, p := range ms.peers {
		if p.term < ms.View.Term {
			return false
		}
	}
	return true
}

// OthersLead reports whether another controller is known to act now. One that may
// not act itself is then refused by the state service alone; otherwise the
// service is out for all, or nobody can be heard.
func (ms *Members) OthersLead() bool { return len(ms.LeadingPeers()) > 0 }

// isolatedAfter is how long a controller that may not act and hears no other goes on
// taking users' connections.
const isolatedAfter = 10 * time.Second

// ShouldWaitOut reports whether a controller, while it may not act, does best to keep its
// users and wait: nobody else is known to act, and it hears others who would say so.
// One that is cut off from the records and from all others can't tell. Users that
// stay with it would have no answer for as long as that lasts, so it waits for a
// moment only.
func (ms *Members) ShouldWaitOut() bool {
	if ms.OthersLead() {
		return false
	}
	alone := true
	for name, p := range ms.peers {
		if name == ms.Self {
			continue
		}
		if alone = false; p.heardAt != 0 && ms.Since(p.heardAt) < 3*ms.Op.RelayEvery {
			return true
		}
	}
	return alone || ms.Since(ms.LeaseDeadline) < isolatedAfter
}

// LeadingPeers lists the other controllers known to act now. They say so
// themselves; to one that they have left out of the view, in their answers.
func (ms *Members) LeadingPeers() []protocol.NodeName {
	var names []protocol.NodeName
	for name, p := range ordered.Of(ms.peers) {
		if name != ms.Self && p.leaseHeldAt != 0 && ms.Since(p.leaseHeldAt) < 3*ms.Op.RelayEvery {
			names = append(names, name)
		}
	}
	return names
}
