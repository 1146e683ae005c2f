package workerregistry

import (
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/recordblock"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Registrar maintains the records of machines: the index of the stored blocks and, if this
// controller is the registrar of the present term, the pending writes.
type Registrar struct {
	clusterstate.Module
	blocks  *recordblock.Index
	pending pendingWrites
}

// New returns a Registrar without blocks or pending writes.
func New(module clusterstate.Module) *Registrar {
	g := &Registrar{Module: module}
	g.Reset()
	return g
}

// Reset discards the index of blocks and the pending writes, for the start of a session.
func (g *Registrar) Reset() {
	g.blocks = recordblock.NewIndex()
	g.pending = newPendingWrites()
}

// StartTerm discards the pending writes and requests of the previous term, when a new view
// is adopted.
func (g *Registrar) StartTerm() { g.pending = newPendingWrites() }

// InBlock reports whether a machine's record is in a block.
func (g *Registrar) InBlock(id protocol.MachineID) bool {
	_, in := g.blocks.BlockOf(id)
	return in
}

// BlockCount returns the number of stored blocks that the watch has delivered.
func (g *Registrar) BlockCount() int { return g.blocks.Len() }

// RequestChange queues a change that a dispatcher (the argument from) requested;
// WriteRequestedChanges writes it. The change replaces an earlier one for the same machine.
// Requests of other terms are dropped, and so are all requests on a controller that is not
// the registrar.
func (g *Registrar) RequestChange(from protocol.NodeName, change message.RecordChange) {
	change.From = from
	if change.Term == g.View.Term && g.UsesBlocks() && g.Registrar() == g.Self {
		g.pending.requested[change.Machine] = change
	}
}

// BlockUpdated installs the stored content of a block, as delivered by the watch, in the
// index, and allows the block to be written again. It returns the records that are new or
// changed, and the machines whose records were removed from the block.
func (g *Registrar) BlockUpdated(name string, block record.Block, version protocol.Version) (changed []record.BlockEntry, removed []protocol.MachineID) {
	delete(g.pending.unobserved, name)
	return g.blocks.Set(name, version, block.Machines)
}

// BlockDeleted removes a deleted block from the index, and allows a block of that name to
// be written again. It returns the machines whose records the block held.
func (g *Registrar) BlockDeleted(name string) (removed []protocol.MachineID) {
	delete(g.pending.unobserved, name)
	return g.blocks.Drop(name)
}
