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
	// observeTimeout is the longest time for which the registrar defers a further write of
	// a block until the watch has delivered the last one. A write before that would fail,
	// since its condition names the earlier version.
	observeTimeout = 3 * time.Second
	// retryPause is the pause after a failed transaction.
	retryPause = 300 * time.Millisecond
	// epochTermShift is the position of the term in the epoch of a record; the bits below
	// hold a counter.
	epochTermShift = 32
)

// Tag identifies a transaction of the registrar, and lists what it writes.
type Tag struct {
	writes []recordblock.Write
	// deletedSingles are the machines whose single records (one key per machine, outside
	// of any block) the transaction deletes without a write to a block.
	deletedSingles []protocol.MachineID
}

// pendingWrites is the state of the registrar's writes in one term.
type pendingWrites struct {
	requested map[protocol.MachineID]message.RecordChange // the latest request for each machine
	inFlight  bool                                        // a transaction was sent and its outcome is not known yet
	// unobserved holds the blocks with a write that the watch has not delivered yet, and
	// the time of that write.
	unobserved map[string]clock.Time
	// attemptedBlock maps a machine that is in no block to the block that a write has
	// tried to add it to. The store may execute such a write late, without an answer, so
	// the machine may be added to no other block: of two writes of the same block on the
	// condition of the same version, at most one takes effect.
	attemptedBlock map[protocol.MachineID]string
	epochCounter   uint64     // number of epochs assigned in this term
	retryAt        clock.Time // no transaction is sent before this time
}

// newPendingWrites returns the state at the start of a term: nothing is pending.
func newPendingWrites() pendingWrites {
	return pendingWrites{
		requested:      map[protocol.MachineID]message.RecordChange{},
		unobserved:     map[string]clock.Time{},
		attemptedBlock: map[protocol.MachineID]string{},
	}
}

// batch is a transaction under construction, and the changes of records that are still to
// be packed into blocks.
type batch struct {
	txn     protocol.Transaction
	tag     Tag
	changes []recordblock.Change
	// dependsOnShards is set if the batch has a removal that is valid only while the
	// machine's shard has the same holder. The transaction then has the version of the
	// shard table as a condition.
	dependsOnShards bool
}

// deleteSingle adds the deletion of a machine's single record, on the condition that the
// record has the given version.
func (b *batch) deleteSingle(id protocol.MachineID, version protocol.Version) {
	key := record.MachineKey(id)
	b.txn.Conditions = append(b.txn.Conditions, protocol.Condition{Key: key, Version: version})
	b.txn.Changes = append(b.txn.Changes, protocol.Change{Delete: key})
}

// addBlock adds the write of a block, or its deletion if no machine is left in it, and the
// deletions of the single records that the block replaces.
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
			b.deleteSingle(c.Machine, c.Single)
		}
	}
}

// WriteRequestedChanges sends the requested changes, as many as fit into one transaction;
// the others stay queued. It sends nothing while an earlier transaction is unanswered,
// until retryPause after a failed one, or without the lease. Like every write of a
// machine's record, the transaction is conditional on the present view: a controller that
// reads the records after a new view misses none of them, and a registrar that was replaced
// writes nothing.
func (g *Registrar) WriteRequestedChanges() {
	p := &g.pending
	if len(p.requested) == 0 || p.inFlight || g.Now < p.retryAt || !g.HoldsLease() {
		return
	}
	limits := recordblock.LimitsOf(g.Settings.Site.State.ValueKB, g.Settings.Site.State.TxnOps)
	b := &batch{txn: protocol.Transaction{Conditions: []protocol.Condition{g.ViewUnchanged()}}}
	g.collectChanges(b, limits)
	limits.Ops -= len(b.txn.Changes)
	b.tag.writes = g.blocks.Pack(b.changes, g.isUnobserved, limits)
	for _, write := range b.tag.writes {
		b.addBlock(write)
		g.trackWrite(write)
	}
	if len(b.txn.Changes) == 0 {
		return
	}
	if b.dependsOnShards {
		b.txn.Conditions = append(b.txn.Conditions, protocol.Condition{Key: record.ShardTableKey, Version: g.ShardsVersion})
	}
	p.inFlight = true
	g.Emit(message.Commit{Tag: b.tag, Transaction: b.txn})
}

// collectChanges adds the requested changes that are still needed to a batch (see
// neededChange), and discards the other requests. To remove a machine that is in no block,
// only its single record is deleted, which needs no write of a block; such deletions fill
// at most half of the operations of a transaction.
func (g *Registrar) collectChanges(b *batch, limits recordblock.Limits) {
	for id, request := range ordered.ByKey(g.pending.requested) {
		change, needed := g.neededChange(id, request)
		if request.To == nil && request.Tenure != 0 {
			b.dependsOnShards = b.dependsOnShards || needed
			// If the shard has had another holder since, that dispatcher may have answered
			// the machine, and the removal is no longer valid.
			needed = needed && g.isSentByDispatcher(request)
		}
		switch {
		case !needed:
			delete(g.pending.requested, id)
			delete(g.pending.attemptedBlock, id)
		case change.Entry != nil || change.Single == 0:
			b.changes = append(b.changes, change)
		case 2*len(b.txn.Changes) < limits.Ops:
			b.deleteSingle(id, change.Single)
			b.tag.deletedSingles = append(b.tag.deletedSingles, id)
		}
	}
}

// isUnobserved reports whether the watch has not delivered the last write of a block yet
// and observeTimeout has not passed since that write.
func (g *Registrar) isUnobserved(block string) bool {
	at, ok := g.pending.unobserved[block]
	return ok && g.Since(at) < observeTimeout
}

// trackWrite records that a write of a block was sent, so that the block is not written
// again before the watch delivers that write, and that the machines it adds may be added to
// no other block.
func (g *Registrar) trackWrite(write recordblock.Write) {
	g.pending.unobserved[write.Block] = g.Now
	for _, change := range write.Changes {
		if !g.InBlock(change.Machine) {
			g.pending.attemptedBlock[change.Machine] = write.Block
		}
	}
}

// isSentByDispatcher reports whether the sender of a request is still the dispatcher of the
// machine, in the shard epoch that the request names; false if the machine has no record.
func (g *Registrar) isSentByDispatcher(request message.RecordChange) bool {
	machine := g.Records[request.Machine]
	if machine == nil {
		return false
	}
	return g.ShardEpoch(request.Machine, machine.Record.Zone) == request.Tenure &&
		g.DispatcherOf(request.Machine) == request.From
}

// neededChange returns the change of a machine's record that fulfils a request, and whether
// a change is still needed. It is not if there is nothing to delete, or if the record has
// changed since the request was sent. Such a record stays as it is: if it still differs
// from what the dispatcher needs, the dispatcher sends another request.
func (g *Registrar) neededChange(id protocol.MachineID, request message.RecordChange) (change recordblock.Change, needed bool) {
	machine := g.Records[id]
	var epoch protocol.Version
	if machine != nil {
		epoch = machine.Epoch
	}
	if epoch != request.Have {
		return recordblock.Change{}, false
	}
	change = recordblock.Change{Machine: id, RequiredBlock: g.pending.attemptedBlock[id]}
	if machine != nil && !g.InBlock(id) {
		change.Single = machine.Epoch
	}
	if request.To != nil {
		change.Entry = &record.BlockEntry{ID: id, Epoch: g.nextEpoch(), Machine: *request.To}
	}
	return change, machine != nil || request.To != nil
}

// nextEpoch returns an epoch for a new record, above all earlier ones and above the
// versions of all single records: the term is in its upper bits, terms start at 1, and
// revisions of the key-value store stay far below 2^32.
func (g *Registrar) nextEpoch() protocol.Version {
	g.pending.epochCounter++
	return protocol.Version(uint64(g.View.Term)<<epochTermShift | g.pending.epochCounter)
}

// WriteCompleted ends the wait for a transaction, so that the next one may be sent. After
// success the requests for deletions of single records are dropped. A request for a change
// of a block stays queued until the watch delivers that change, and the blocks are not
// written again before that or until observeTimeout passes. After any other outcome all
// requests stay queued, and the blocks may be written again after retryPause.
func (g *Registrar) WriteCompleted(tag Tag, outcome message.Outcome) {
	g.pending.inFlight = false
	if outcome == message.OutcomeDone {
		for _, id := range tag.deletedSingles {
			delete(g.pending.requested, id)
		}
		return
	}
	g.pending.retryAt = g.After(retryPause)
	for _, write := range tag.writes {
		delete(g.pending.unobserved, write.Block)
	}
}
