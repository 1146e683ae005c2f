package workerregistry

import (
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/recordblock"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// observeTimeout is how long a block just written is left alone: the watch delivers
	// its change, and a write before that would fail.
	observeTimeout = 3 * time.Second
	// retryPause is how long after a failed transaction the next one is sent.
	retryPause = 300 * time.Millisecond
	// epochTermShift places the term above the counter in the epochs of records.
	epochTermShift = 32
)

// Tag marks the transaction that writes blocks.
type Tag struct {
	writes []recordblock.Write
	// dropped are the machines whose single records are deleted without a write to a
	// block.
	dropped []protocol.MachineID
}

// pendingWrites is what the registrar has to write in a term.
type pendingWrites struct {
	requested  map[protocol.MachineID]message.RecordChange
	inFlight   bool                  // a transaction is not answered yet
	unobserved map[string]clock.Time // blocks written whose change was not delivered yet, and when
	// bound is, for machines that are in no block, the block that a write has tried to
	// put them into. Such a write may remain unanswered and be executed late, so they go
	// into no other block: of two writes of the same block on the same version, at most
	// one takes effect.
	bound   map[protocol.MachineID]string
	epochs  uint64 // counts the epochs given out
	retryAt clock.Time
}

func newPendingWrites() pendingWrites {
	return pendingWrites{
		requested:  map[protocol.MachineID]message.RecordChange{},
		unobserved: map[string]clock.Time{},
		bound:      map[protocol.MachineID]string{},
	}
}

// batch is a transaction under construction.
type batch struct {
	txn     protocol.Transaction
	tag     Tag
	changes []recordblock.Change
	// usesShards: a removal in it depends on the holder of the machine's shard.
	usesShards bool
}

// dropSingle deletes a machine's single record, which must have a version.
func (b *batch) dropSingle(id protocol.MachineID, version protocol.Version) {
	key := record.MachineKey(id)
	b.txn.Conditions = append(b.txn.Conditions, protocol.Condition{Key: key, Version: version})
	b.txn.Changes = append(b.txn.Changes, protocol.Change{Delete: key})
}

// addBlock writes a block, or deletes it if no machine is left in it.
func (b *batch) addBlock(write recordblock.Write) {
	key := record.BlockKey(write.Block)
	change := protocol.Change{Delete: key}
	if len(write.Entries) > 0 {
		change = protocol.Change{Put: key, Value: record.Block{Machines: write.Entries}}
	}
	b.txn.Conditions = append(b.txn.Conditions, protocol.Condition{Key: key, Version: write.Version})
	b.txn.Changes = append(b.txn.Changes, change)
	for _, c := range write.Changes {
		if c.Single != 0 {
			b.dropSingle(c.Machine, c.Single)
		}
	}
}

// Write writes the requested changes, as many at a time as one transaction holds. The
// transaction depends on the present view, like every write of a machine's record:
// whoever reads the records after a new view misses none, and a registrar that was
// replaced writes nothing.
func (g *Registrar) Write() {
	p := &g.pending
	if len(p.requested) == 0 || p.inFlight || g.Now < p.retryAt || !g.HoldsLease() {
		return
	}
	limits := recordblock.LimitsOf(g.Settings.Site.State.ValueKB, g.Settings.Site.State.TxnOps)
	b := &batch{txn: protocol.Transaction{Conditions: []protocol.Condition{g.ViewUnchanged()}}}
	g.collectChanges(b, limits)
	limits.Ops -= len(b.txn.Changes)
	b.tag.writes = g.blocks.Pack(b.changes, g.awaitsWatch, limits)
	for _, write := range b.tag.writes {
		b.addBlock(write)
		g.noteWrite(write)
	}
	if len(b.txn.Changes) == 0 {
		return
	}
	if b.usesShards {
		b.txn.Conditions = append(b.txn.Conditions, protocol.Condition{Key: record.ShardTableKey, Version: g.ShardsVersion})
	}
	p.inFlight = true
	g.Emit(message.Commit{Tag: b.tag, Transaction: b.txn})
}

// collectChanges adds the changes that are still needed to a batch, and discards the
// other requests. Machines that are in no block and should not be lose their single
// records only, which takes no write of a block; these fill half a transaction at most.
func (g *Registrar) collectChanges(b *batch, limits recordblock.Limits) {
	for id, request := range ordered.ByKey(g.pending.requested) {
		change, needed := g.blockChange(id, request)
		if request.To == nil && request.Tenure != 0 {
			b.usesShards = b.usesShards || needed
			// Another dispatcher that holds the machine since may have answered it.
			needed = needed && g.isDispatcher(request)
		}
		switch {
		case !needed:
			delete(g.pending.requested, id)
			delete(g.pending.bound, id)
		case change.Entry != nil || change.Single == 0:
			b.changes = append(b.changes, change)
		case 2*len(b.txn.Changes) < limits.Ops:
			b.dropSingle(id, change.Single)
			b.tag.dropped = append(b.tag.dropped, id)
		}
	}
}

// awaitsWatch reports whether the watch has yet to deliver the last write of a block.
func (g *Registrar) awaitsWatch(block string) bool {
	at, ok := g.pending.unobserved[block]
	return ok && g.Since(at) < observeTimeout
}

// noteWrite remembers that a block is being written, and binds the new machines in it.
func (g *Registrar) noteWrite(write recordblock.Write) {
	g.pending.unobserved[write.Block] = g.Now
	for _, change := range write.Changes {
		if !g.InBlock(change.Machine) {
			g.pending.bound[change.Machine] = write.Block
		}
	}
}

// isDispatcher reports whether a request's sender still dispatches to the machine, in
// the shard epoch that it names.
func (g *Registrar) isDispatcher(request message.RecordChange) bool {
	machine := g.Records[request.Machine]
	if machine == nil {
		return false
	}
	return g.ShardEpoch(request.Machine, machine.Record.Zone) == request.Tenure &&
		g.DispatcherOf(request.Machine) == request.From
}

// blockChange returns the change of a machine's record that a request needs, if it still
// needs any. A record that has changed since the request was sent is left alone: if that
// is not enough, the dispatcher asks again.
func (g *Registrar) blockChange(id protocol.MachineID, request message.RecordChange) (change recordblock.Change, needed bool) {
	machine := g.Records[id]
	var epoch protocol.Version
	if machine != nil {
		epoch = machine.Epoch
	}
	if epoch != request.Have {
		return recordblock.Change{}, false
	}
	change = recordblock.Change{Machine: id, Bound: g.pending.bound[id]}
	if machine != nil && !g.InBlock(id) {
		change.Single = machine.Epoch
	}
	if request.To != nil {
		change.Entry = &record.BlockEntry{ID: id, Epoch: g.nextEpoch(), Machine: *request.To}
	}
	return change, machine != nil || request.To != nil
}

// nextEpoch returns an epoch above all before, and above the versions of single records:
// terms are above 0, and revisions of the key-value store far below 2^32.
func (g *Registrar) nextEpoch() protocol.Version {
	g.pending.epochs++
	return protocol.Version(uint64(g.View.Term)<<epochTermShift | g.pending.epochs)
}

// Written handles the outcome of a transaction. Only a change that the watch delivers
// counts; until then a block that may have been written is left alone.
func (g *Registrar) Written(tag Tag, outcome message.Outcome) {
	g.pending.inFlight = false
	if outcome == message.OutcomeDone {
		for _, id := range tag.dropped {
			delete(g.pending.requested, id)
		}
		return
	}
	g.pending.retryAt = g.After(retryPause)
	for _, write := range tag.writes {
		delete(g.pending.unobserved, write.Block)
	}
}
