package membership

import (
	"maps"
	"slices"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// viewRetryPause is the time between a failed write of the view and the next attempt.
const viewRetryPause = 300 * time.Millisecond

// ViewTag marks the transaction that writes a view: its outcome is passed to ViewWritten.
type ViewTag struct{}

// AdoptView installs a view that was read from the key-value store, and the version of its
// record. It drops the state of peers whose sessions are not in the view, starts that of new
// ones, and clears the cached dispatchers.
func (ms *Members) AdoptView(view record.View, version protocol.Version) {
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
		p.adoptedTerm = view.Term
	}
	ms.reachability.adoptView(view, ms.Self, ms.Now)
}

// UpdateView writes a view of the next term if the members, unreachable members or layout
// of the current view differ from those that desiredMembers and unreachableNodes return, if
// the layout requires a shard table and there is none, or if forceNewTerm is set. It does
// nothing while this controller's lease has expired or it is not registered, or while a
// transaction on the view or the shard table is in flight or its retry pause lasts. A
// controller that refuses connections stays a member; only the end of its lease removes it.
func (ms *Members) UpdateView(forceNewTerm bool) {
	if ms.Session == 0 || ms.Now >= ms.LeaseDeadline || ms.writeInFlight || ms.Now < ms.retryAt {
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
	if !forceNewTerm && ms.viewIsCurrent(&next) {
		return
	}
	ms.writeInFlight = true
	ms.Emit(message.Commit{Tag: ViewTag{}, Transaction: ms.viewTransaction(next)})
}

// viewIsCurrent reports whether the current view differs from the next one only by its
// term, and the shard table exists if the layout requires one.
func (ms *Members) viewIsCurrent(next *record.View) bool {
	return maps.Equal(next.Members, ms.View.Members) &&
		next.Layout == ms.View.Layout &&
		slices.Equal(next.Deaf, ms.View.Deaf) &&
		(next.Layout < record.LayoutShards || ms.Shards != nil)
}

// viewTransaction returns the transaction that writes a view, on the condition that the
// current one is unchanged. If the shard table has to change with the view, it is written
// in the same transaction, so that no shard is without a holder. The table is written
// before the view, so that watchers have received the holders when the view arrives.
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

// desiredMembers returns the controllers that should be in the view, and its layout: the
// latest that all of them support. These are the registered controllers that support the
// current view's layout. Once a layout is in use, controllers that do not support it are
// excluded: they would not read the records of all machines that may run tasks.
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

// ViewWritten ends the transaction that writes a view, so that the next one may be sent: at once
// after a success, in viewRetryPause after a failure or an unknown outcome. It does not
// install the view: the watch delivers it.
func (ms *Members) ViewWritten(outcome message.Outcome) {
	ms.writeInFlight = false
	if outcome != message.OutcomeDone {
		ms.retryAt = ms.After(viewRetryPause)
	}
}
