package membership

import (
	"maps"
	"slices"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// viewRetryPause is how long after a failed write of the view the next one is tried.
const viewRetryPause = 300 * time.Millisecond

// ViewTag marks the transaction that writes a view.
type ViewTag struct{}

// Adopt installs a new view.
func (ms *Members) Adopt(view record.View, version protocol.Version) {
	ms.View = view
	ms.ViewVersion = version
	clear(ms.DispatcherCache)
	ms.retryAt = 0
	for name, p := range ms.peers {
		if view.Members[name] != p.session {
			delete(ms.peers, name)
		}
	}
	for name, session := range view.Members {
		if ms.peers[name] == nil {
			ms.peers[name] = &peer{session: session}
		}
	}
	if p := ms.peers[ms.Self]; p != nil {
		p.term = view.Term
	}
	ms.reachability.adopt(view, ms.Self, ms.Now)
}

// UpdateView writes a view of the next term when the present one does not name exactly the
// registered controllers, or when raise asks for it. A controller that refuses
// connections stays a member; only lease expiry removes it.
func (ms *Members) UpdateView(raise bool) {
	if ms.Session == 0 || ms.Now >= ms.LeaseDeadline || ms.writing || ms.Now < ms.retryAt {
		return
	}
	members, layout := ms.desiredMembers()
	if members[ms.Self] != ms.Session {
		return // only a registered controller may write the view
	}
	next := record.View{
		Term:    ms.View.Term + 1,
		Members: members,
		Deaf:    ms.unreachableNodes(members),
		Layout:  layout,
	}
	if !raise && ms.viewIsCurrent(&next) {
		return
	}
	ms.writing = true
	ms.Emit(message.Commit{Tag: ViewTag{}, Transaction: ms.viewTransaction(next)})
}

// viewIsCurrent reports whether the view in force differs from the next one by no more
// than its term, and the shard table that its layout needs is there.
func (ms *Members) viewIsCurrent(next *record.View) bool {
	return maps.Equal(next.Members, ms.View.Members) &&
		next.Layout == ms.View.Layout &&
		slices.Equal(next.Deaf, ms.View.Deaf) &&
		(next.Layout < record.LayoutShards || ms.Shards != nil)
}

// viewTransaction writes a view, on the condition that the present one is unchanged.
// A shard table that has to change with it goes into the same transaction, so that no
// shard is without a holder. The table comes first: whoever watches it knows the
// holders by the time the view arrives.
func (ms *Members) viewTransaction(next record.View) protocol.Transaction {
	txn := protocol.Transaction{Conditions: []protocol.Condition{ms.ViewUnchanged()}}
	if next.Layout >= record.LayoutShards {
		txn.Conditions = append(txn.Conditions, protocol.Condition{Key: record.ShardTableKey, Version: ms.ShardsVersion})
		if table := ms.shardTableFor(next); table != nil {
			txn.Changes = append(txn.Changes, protocol.Change{Put: record.ShardTableKey, Value: *table})
		}
	}
	txn.Changes = append(txn.Changes, protocol.Change{Put: record.ViewKey, Value: next})
	return txn
}

// desiredMembers returns the controllers that should be in the view, and its layout:
// the latest that all of them support. Once a layout is in use, controllers that do not
// support it are excluded: they would miss machines that may run tasks.
func (ms *Members) desiredMembers() (map[protocol.NodeName]protocol.LeaseID, record.Layout) {
	members := map[protocol.NodeName]protocol.LeaseID{}
	supported := record.LatestLayout
	for name, node := range ms.nodes {
		layout := max(node.Layout, record.LayoutSingle)
		if layout < ms.View.Layout {
			continue
		}
		members[name] = node.Session
		supported = min(supported, layout)
	}
	return members, max(supported, ms.View.Layout)
}

// ViewWritten handles the outcome of writing a view.
func (ms *Members) ViewWritten(outcome message.Outcome) {
	ms.writing = false
	if outcome != message.OutcomeDone {
		ms.retryAt = ms.After(viewRetryPause)
	}
}
