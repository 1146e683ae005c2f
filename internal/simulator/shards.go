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
	// handoverTimeout bounds the time for which a node hands over its shards before it
	// ends, as the controller's node does.
	handoverTimeout = 10 * time.Second
	// handoverPoll is how often a node that ends checks whether it has done so.
	handoverPoll = 100 * time.Millisecond
	// rollInterval is the time between the ends of two nodes of a rolling shutdown.
	rollInterval = 30 * time.Second
	// moveAftermath is how long after a move of its machine's shard the end of a task may
	// be due to the move.
	moveAftermath = 10 * time.Second
)

// operatorName is the name of the operator who moves shards.
const operatorName = "ops"

// shardTable returns the record of the shards, if there is one.
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

// shards lists the shards that the node's session holds by the record.
func (n *node) shards() (ids []int) {
	table, _ := n.world.shardTable()
	for i, shard := range table.List {
		if n.session != 0 && shard.Holder == n.session {
			ids = append(ids, i)
		}
	}
	return ids
}

// moveShards has an operator move shards to a node. It reports whether a controller has
// accepted the request.
func (w *world) moveShards(ids []int, to *node) bool {
	for _, n := range w.nodes {
		if n.core == nil || w.now < n.pausedUntil {
			continue
		}
		if reply, _ := n.core.Decide(operatorName, &operatorapi.Request{Op: operatorapi.OpMove, Shares: ids, Controller: to.name}); reply.Code == operatorapi.Done {
			return true
		}
	}
	return false
}

// moveRandomShards moves some shards, at most a number, from a random node to another.
func (w *world) moveRandomShards(most int) {
	from, to := w.nodes[w.rng.IntN(3)], w.nodes[w.rng.IntN(3)]
	ids := from.shards()
	w.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	if n := min(len(ids), 1+w.rng.IntN(most)); n > 0 && from != to {
		w.moveShards(ids[:n], to)
	}
}

// shutDown ends the node's process by a signal: it hands over its shards, releases its
// session and is restarted after a while.
func (n *node) shutDown() {
	w := n.world
	end := w.now + handoverTimeout
	incarnation := n.incarnation
	n.step(message.Shutdown{})
	var wait func()
	wait = func() {
		if n.incarnation != incarnation || n.core == nil {
			return
		}
		if n.session != 0 && !n.core.HandedOver() && w.now < end {
			w.after(handoverPoll, wait)
			return
		}
		if n.session != 0 && n.stateReachable() {
			w.state.Release(n.session)
		}
		n.crash()
	}
	w.after(handoverPoll, wait)
}

// rollingShutdown shuts all nodes down, one after the other.
func (w *world) rollingShutdown() {
	for i, n := range w.nodes {
		w.after(time.Duration(i)*rollInterval, func() {
			if n.core != nil {
				n.shutDown()
			}
		})
	}
}

// recordMoves records the moves of shards that the core has completed.
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

// movePauseP99 returns the 99th percentile of the time for which moves pause starts.
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
	afterMove bool // shortly after a move of its machine's shard
}

// taskEnded records how a task ended.
func (d *driver) taskEnded(id protocol.MachineID, t protocol.TaskID, cause protocol.EndCause) {
	table, ok := d.shardTable()
	m := d.workers[id]
	if !ok || m == nil {
		return
	}
	at, moved := d.movedAt[sharding.ShardOf(&table, id, m.Zone)]
	d.taskEndings[t] = taskEnding{cause, moved && d.now-at < moveAftermath}
}

// countRestart counts a task that starts once more after a move, which may merely coincide
// with it.
func (d *driver) countRestart(t protocol.TaskID) {
	switch ending := d.taskEndings[t]; {
	case !ending.afterMove:
	case ending.cause == protocol.EndDone:
		d.lostByMoves++
	default:
		d.stoppedByMoves++
	}
}
