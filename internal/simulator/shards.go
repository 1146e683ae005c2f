package simulator

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// handoverTimeout bounds the time that a node spends on handing over its shards before
	// it exits, as in the controller's real node.
	handoverTimeout = 10 * time.Second
	// handoverPollInterval is how often a node that is shutting down checks whether the
	// handover is complete.
	handoverPollInterval = 100 * time.Millisecond
	// rollingShutdownInterval is the time between the shutdowns of two nodes in a rolling
	// shutdown.
	rollingShutdownInterval = 30 * time.Second
	// moveAttributionWindow is for how long after a move of a shard the endings of tasks on
	// its machines are attributed to the move.
	moveAttributionWindow = 10 * time.Second
)

// operatorName is the name of the operator who moves shards.
const operatorName = "ops"

// shardTable returns the shard table in the key-value store; ok is false if there is none.
func (w *world) shardTable() (s record.ShardTable, ok bool) {
	it, found := w.state.Get(record.ShardTableKey)
	if !found {
		return s, false
	}
	if err := protocol.Decode(it.Value, &s); err != nil {
		w.fail("%v record of the shares: %v", w.now, err)
	}
	return s, true
}

// heldShards returns the indexes of the shards whose holder in the shard table is the node's
// session.
func (n *node) heldShards() (ids []int) {
	table, _ := n.world.shardTable()
	for i, shard := range table.List {
		if n.session != 0 && shard.Holder == n.session {
			ids = append(ids, i)
		}
	}
	return ids
}

// moveShards requests, as an operator, that shards be moved to a node. It sends the request to
// one controller after the other, without those that are down or paused, until one accepts it,
// and reports whether one did.
func (w *world) moveShards(ids []int, to *node) bool {
	for _, n := range w.nodes {
		if n.core == nil || w.now < n.pausedUntil {
			continue
		}
		if reply, _ := n.core.DecideOperatorRequest(operatorName, &operatorapi.Request{Op: operatorapi.OpMove, Shares: ids, Controller: to.name}); reply.Code == operatorapi.Done {
			return true
		}
	}
	return false
}

// moveRandomShards moves one to maxShards random shards from one random node to another. It
// does nothing if both are the same node, or if the first one holds no shards.
func (w *world) moveRandomShards(maxShards int) {
	from, to := w.nodes[w.rng.IntN(3)], w.nodes[w.rng.IntN(3)]
	ids := from.heldShards()
	w.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	if n := min(len(ids), 1+w.rng.IntN(maxShards)); n > 0 && from != to {
		w.moveShards(ids[:n], to)
	}
}

// shutDown shuts the node's process down as a signal does: the process hands over its shards
// for at most handoverTimeout, releases its session if it can reach the key-value store, and
// exits. It is restarted after restartDelay.
func (n *node) shutDown() {
	w := n.world
	deadline := w.now + handoverTimeout
	incarnation := n.incarnation
	n.step(message.Shutdown{})
	var pollHandover func()
	pollHandover = func() {
		if n.incarnation != incarnation || n.core == nil {
			return
		}
		if n.session != 0 && !n.core.HandedOver() && w.now < deadline {
			w.after(handoverPollInterval, pollHandover)
			return
		}
		if n.session != 0 && n.stateReachable() {
			w.state.ReleaseLease(n.session)
		}
		n.crash()
	}
	w.after(handoverPollInterval, pollHandover)
}

// rollingShutdown shuts down all nodes, one every rollingShutdownInterval, without waiting for
// the previous one. A node whose process is down then is left out.
func (w *world) rollingShutdown() {
	for i, n := range w.nodes {
		w.after(time.Duration(i)*rollingShutdownInterval, func() {
			if n.core != nil {
				n.shutDown()
			}
		})
	}
}

// recordMoves takes the shard moves that the core has ended since the last call. It counts the
// aborted ones, and records the pause and the time of the others.
func (n *node) recordMoves() {
	w := n.world
	for _, m := range n.core.CompletedMoves() {
		if m.Aborted {
			w.abortedMoves++
		} else {
			w.movePauses, w.movedAt[m.Shard] = append(w.movePauses, m.Pause), w.now
		}
	}
}

// movePauseP99 returns the 99th percentile of the times for which shard moves paused the
// starts of tasks; 0 if there was no move.
func (w *world) movePauseP99() time.Duration {
	if len(w.movePauses) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(w.movePauses))
	return sorted[(len(sorted)*99)/100]
}

// taskEnding is how an attempt of a task ended.
type taskEnding struct {
	cause     protocol.EndCause
	afterMove bool // within moveAttributionWindow of a move of the machine's shard
}

// taskEnded records the cause of a task's ending and whether it followed a move of the
// machine's shard by less than moveAttributionWindow. It ignores endings while there is no
// shard table and those on unknown machines.
func (d *driver) taskEnded(id protocol.MachineID, t protocol.TaskID, cause protocol.EndCause) {
	table, ok := d.shardTable()
	m := d.workers[id]
	if !ok || m == nil {
		return
	}
	at, moved := d.movedAt[sharding.ShardOf(&table, id, m.Zone)]
	d.taskEndings[t] = taskEnding{cause, moved && d.now-at < moveAttributionWindow}
}

// countRestart counts a restart of a task whose previous attempt ended within
// moveAttributionWindow of a move of its machine's shard: in lostByMoves if that attempt had
// completed, otherwise in stoppedByMoves. The move need not be the cause of that ending.
func (d *driver) countRestart(t protocol.TaskID) {
	switch ending := d.taskEndings[t]; {
	case !ending.afterMove:
	case ending.cause == protocol.EndDone:
		d.lostByMoves++
	default:
		d.stoppedByMoves++
	}
}
