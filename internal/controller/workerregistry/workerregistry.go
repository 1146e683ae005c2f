// Package workerregistry keeps the records of machines: several in one block, written
// reportedBy one member at a time (docs/machine-records.md).
package workerregistry

import (
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/recordblock"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Registrar keeps the records of machines: the blocks as they are, and, where this
// controller is the one member that writes them in a term, what it has to write.
// Only one does, so that no machine is ever in two blocks.
type Registrar struct {
	clusterstate.Module
	blocks *recordblock.Index
	writeState
}

// New knows no records yet.
func New(p clusterstate.Module) *Registrar {
	g := &Registrar{Module: p}
	g.Reset()
	return g
}

// Reset forgets everything a session knew.
func (g *Registrar) Reset() { g.blocks, g.writeState = recordblock.NewIndex(), newWriteState() }

// Adopted forgets what was to be written in the term before.
func (g *Registrar) Adopted() { g.writeState = newWriteState() }

// InBlock reports whether a machine's record is in a block.
func (g *Registrar) InBlock(id protocol.MachineID) bool {
	_, in := g.blocks.BlockOf(id)
	return in
}

// Blocks is how many blocks there are.
func (g *Registrar) Blocks() int { return g.blocks.Len() }

// writes is what is to be written in a term.
type writeState struct {
	asked   map[protocol.MachineID]message.RecordChange
	busy    bool                  // a transaction is under way
	writing map[string]clock.Time // blocks written whose change has not been seen yet, and when
	// bound are the blocks that were to take machines that are in none. Such a
	// write may be without an answer and executed late, so they go nowhere else:
	// reservation two writes of the same block, on the same version, one at most happens.
	bound   map[protocol.MachineID]string
	stamps  uint64
	retryAt clock.Time
}

func newWriteState() writeState {
	return writeState{asked: map[protocol.MachineID]message.RecordChange{}, writing: map[string]clock.Time{}, bound: map[protocol.MachineID]string{}}
}

// Tag marks the transaction that writes blocks.
type Tag struct {
	writes  []recordblock.Write
	dropped []protocol.MachineID // whose records of their own go
}

// Timings of the registrar.
const (
	// seenWithin is how long a block just written is left alone: its change
	// arrives by the watch, and writing it before would fail.
	seenWithin = 3 * time.Second
	penPause   = 300 * time.Millisecond
)

// RequestChange takes note of what a keeper asks for. What was asked for before
// for the same machine is out of date.
func (g *Registrar) RequestChange(from protocol.NodeName, r message.RecordChange) {
	r.From = from
	if r.Term == g.View.Term && g.UsesBlocks() && g.Registrar() == g.Self {
		g.writeState.asked[r.Machine] = r
	}
}

// Write writes the records that are asked for, as many at a time as one
// transaction holds. It holds only in the present view, like every record of a
// machine: who reads the records after a new view misses none, and a registrar
// that others have replaced writes nothing.
func (g *Registrar) Write() {
	p := &g.writeState
	if len(p.asked) == 0 || p.busy || g.Now < p.retryAt || !g.HoldsLease() {
		return
	}
	limits := recordblock.LimitsOf(g.Settings.Site.State.ValueKB, g.Settings.Site.State.TxnOps)
	txn := protocol.Transaction{Conditions: []protocol.Condition{g.ViewUnchanged()}}
	dropSingle := func(id protocol.MachineID, version protocol.Version) {
		key := record.MachineKey(id)
		txn.Conditions = append(txn.Conditions, protocol.Condition{Key: key, Version: version})
		txn.Changes = append(txn.Changes, protocol.Change{Delete: key})
	}
	var tag Tag
	var changes []recordblock.Change
	byTenure := false // something goes on the word of a machine's keeper
	for id, r := range ordered.Of(p.asked) {
		ch, due := g.blockChange(id, r)
		removal := r.To == nil && r.Tenure != 0
		if byTenure = byTenure || due && removal; removal && !g.dispatchedBy(r) {
			due = false // another keeps it since, and may have answered it
		}
		switch {
		case !due:
			delete(p.asked, id)
			delete(p.bound, id)
		case ch.Entry == nil && ch.Single != 0:
			// In no block, and not to be: its own record goes, that is all.
			if 2*len(txn.Changes) < limits.Ops {
				dropSingle(id, ch.Single)
				tag.dropped = append(tag.dropped, id)
			}
		default:
			changes = append(changes, ch)
		}
	}
	busy := func(name string) bool {
		at, ok := p.writing[name]
		return ok && g.Since(at) < seenWithin
	}
	limits.Ops -= len(txn.Changes)
	tag.writes = g.blocks.Pack(changes, busy, limits)
	for _, w := range tag.writes {
		key := record.BlockKey(w.Block)
		txn.Conditions = append(txn.Conditions, protocol.Condition{Key: key, Version: w.Version})
		if len(w.Entries) == 0 {
			txn.Changes = append(txn.Changes, protocol.Change{Delete: key})
		} else {
			txn.Changes = append(txn.Changes, protocol.Change{Put: key, Value: record.Block{Machines: w.Entries}})
		}
		p.writing[w.Block] = g.Now
		for _, ch := range w.Changes {
			if ch.Single != 0 {
				dropSingle(ch.Machine, ch.Single)
			}
			if _, ok := g.blocks.BlockOf(ch.Machine); !ok {
				p.bound[ch.Machine] = w.Block
			}
		}
	}
	if len(txn.Changes) == 0 {
		return
	}
	if byTenure {
		txn.Conditions = append(txn.Conditions, protocol.Condition{Key: record.ShardTableKey, Version: g.ShardsVersion})
	}
	p.busy = true
	g.Emit(message.Commit{Tag: tag, Txn: txn})
}

// dispatchedBy reports whether a machine is kept still by who asks, and in the tenure that
// is named.
func (g *Registrar) dispatchedBy(r message.RecordChange) bool {
	m := g.Records[r.Machine]
	return m != nil && g.ShardEpoch(r.Machine, m.Record.Zone) == r.Tenure && g.DispatcherOf(r.Machine) == r.From
}

// blockChange is what a machine's record needs still, if anything.
func (g *Registrar) blockChange(id protocol.MachineID, r message.RecordChange) (ch recordblock.Change, due bool) {
	m := g.Records[id]
	have := protocol.Version(0)
	if m != nil {
		have = m.Epoch
	}
	if have != r.Have {
		return ch, false // it has changed since: asked again if that is not enough
	}
	ch = recordblock.Change{Machine: id, Bound: g.writeState.bound[id]}
	if _, in := g.blocks.BlockOf(id); m != nil && !in {
		ch.Single = m.Epoch
	}
	if r.To != nil {
		// Each stamp is above all before, and above the versions of records of
		// the other layout: terms are above 0, revisions far below 2^32.
		g.writeState.stamps++
		ch.Entry = &record.BlockEntry{ID: id, Epoch: protocol.Version(uint64(g.View.Term)<<32 | g.writeState.stamps), Machine: *r.To}
	}
	return ch, m != nil || r.To != nil
}

// Written takes the outcome. Only a change that is seen in the records
// counts; until then a block that may have been written is left alone.
func (g *Registrar) Written(tag Tag, out message.Outcome) {
	p := &g.writeState
	p.busy = false
	if out == message.OutcomeDone {
		for _, id := range tag.dropped {
			delete(p.asked, id)
		}
		return
	}
	p.retryAt = g.After(penPause)
	for _, w := range tag.writes {
		delete(p.writing, w.Block)
	}
}

// BlockUpdated takes over a block's record, and returns the machines whose records
// have changed by that, and those whose records have gone.
func (g *Registrar) BlockUpdated(name string, b record.Block, version protocol.Version) (changed []record.BlockEntry, gone []protocol.MachineID) {
	delete(g.writeState.writing, name)
	return g.blocks.Set(name, version, b.Machines)
}

// BlockDeleted: a block's record was deleted, and those of the machines returned.
func (g *Registrar) BlockDeleted(name string) []protocol.MachineID {
	delete(g.writeState.writing, name)
	return g.blocks.Drop(name)
}
