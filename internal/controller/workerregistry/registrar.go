package workerregistry

import (
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/recordblock"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Registrar maintains the records of machines: the blocks as they are stored and, where
// this controller is the member that writes them in this term, the pending writes.
type Registrar struct {
	clusterstate.Module
	blocks  *recordblock.Index
	pending pendingWrites
}

// New returns a Registrar that knows no records yet.
func New(module clusterstate.Module) *Registrar {
	g := &Registrar{Module: module}
	g.Reset()
	return g
}

// Reset discards all that was known in a session.
func (g *Registrar) Reset() {
	g.blocks = recordblock.NewIndex()
	g.pending = newPendingWrites()
}

// Adopted discards what was to be written in the term before.
func (g *Registrar) Adopted() { g.pending = newPendingWrites() }

// InBlock reports whether a machine's record is in a block.
func (g *Registrar) InBlock(id protocol.MachineID) bool {
	_, in := g.blocks.BlockOf(id)
	return in
}

// BlockCount returns the number of blocks.
func (g *Registrar) BlockCount() int { return g.blocks.Len() }

// RequestChange queues a change that a dispatcher asks for. It replaces an earlier one
// for the same machine. Requests of other terms, and those to a controller that is not
// the registrar, are dropped.
func (g *Registrar) RequestChange(from protocol.NodeName, change message.RecordChange) {
	change.From = from
	if change.Term == g.View.Term && g.UsesBlocks() && g.Registrar() == g.Self {
		g.pending.requested[change.Machine] = change
	}
}

// BlockUpdated installs a block as it is stored now, and returns the records that have
// changed by that and the machines whose records were removed.
func (g *Registrar) BlockUpdated(name string, block record.Block, version protocol.Version) (changed []record.BlockEntry, removed []protocol.MachineID) {
	delete(g.pending.unobserved, name)
	return g.blocks.Set(name, version, block.Machines)
}

// BlockDeleted removes a block that is stored no more, and returns the machines that
// were in it.
func (g *Registrar) BlockDeleted(name string) (removed []protocol.MachineID) {
	delete(g.pending.unobserved, name)
	return g.blocks.Drop(name)
}
