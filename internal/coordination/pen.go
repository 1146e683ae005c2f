package coordination

import (
	"time"

	"damsonkeel/internal/bookkeeping"
	"damsonkeel/internal/coordination/blocks"
	"damsonkeel/internal/coordination/inorder"
	"damsonkeel/internal/coordination/message"
	"damsonkeel/internal/protocol"
)

// pen is what the registrar keeps: the one member that writes machines' records
// in a term. Only one does, so that no machine is ever in two blocks.
type pen struct {
	wanted  map[protocol.MachineID]message.RecordChange
	busy    bool            // a transaction is under way
	writing map[string]Time // blocks written whose change has not been seen yet, and when
	// bound are the blocks that were to take machines that are in none. Such a
	// write may be without an answer and executed late, so they go nowhere else:
	// of two writes of the same block, on the same version, one at most happens.
	bound   map[protocol.MachineID]string
	stamps  uint64
	retryAt Time
}

func newPen() pen {
	return pen{wanted: map[protocol.MachineID]message.RecordChange{}, writing: map[string]Time{}, bound: map[protocol.MachineID]string{}}
}

type penTag struct {
	writes  []blocks.Write
	dropped []protocol.MachineID // whose records of their own go
}

// Timings of the registrar.
const (
	// seenWithin is how long a block just written is left alone: its change
	// arrives by the watch, and writing it before would fail.
	seenWithin = 3 * time.Second
	penPause   = 300 * time.Millisecond
)

// recordWanted takes note of what a keeper asks for. What was asked for before
// for the same machine is out of date.
func (c *Core) recordWanted(r message.RecordChange) {
	if r.Term == c.View.Term && c.InBlocks() && c.Registrar() == c.Self {
		c.pen.wanted[r.Machine] = r
	}
}

// writeBlocks writes the records that are asked for, as many at a time as one
// transaction holds. It holds only in the present view, like every record of a
// machine: who reads the records after a new view misses none, and a registrar
// that others have replaced writes nothing.
func (c *Core) writeBlocks() {
	p := &c.pen
	if len(p.wanted) == 0 || p.busy || c.Now < p.retryAt || !c.Acting() {
		return
	}
	limits := blocks.LimitsOf(c.Settings.Site.State.ValueKB, c.Settings.Site.State.TxnOps)
	txn := protocol.Txn{If: []protocol.Condition{c.InThisView()}}
	dropSingle := func(id protocol.MachineID, version protocol.Version) {
		key := bookkeeping.MachineKey(id)
		txn.If = append(txn.If, protocol.Condition{Key: key, Version: version})
		txn.Then = append(txn.Then, protocol.Change{Delete: key})
	}
	var tag penTag
	var changes []blocks.Change
	for id, r := range inorder.Of(p.wanted) {
		ch, due := c.blockChange(id, r)
		switch {
		case !due:
			delete(p.wanted, id)
			delete(p.bound, id)
		case ch.Entry == nil && ch.Single != 0:
			// In no block, and not to be: its own record goes, that is all.
			if 2*len(txn.Then) < limits.Ops {
				dropSingle(id, ch.Single)
				tag.dropped = append(tag.dropped, id)
			}
		default:
			changes = append(changes, ch)
		}
	}
	busy := func(name string) bool {
		at, ok := p.writing[name]
		return ok && c.Since(at) < seenWithin
	}
	limits.Ops -= len(txn.Then)
	tag.writes = c.shelf.Pack(changes, busy, limits)
	for _, w := range tag.writes {
		key := bookkeeping.BlockKey(w.Block)
		txn.If = append(txn.If, protocol.Condition{Key: key, Version: w.Version})
		if len(w.Entries) == 0 {
			txn.Then = append(txn.Then, protocol.Change{Delete: key})
		} else {
			txn.Then = append(txn.Then, protocol.Change{Put: key, Value: bookkeeping.Block{Machines: w.Entries}})
		}
		p.writing[w.Block] = c.Now
		for _, ch := range w.Changes {
			if ch.Single != 0 {
				dropSingle(ch.Machine, ch.Single)
			}
			if _, ok := c.shelf.Where(ch.Machine); !ok {
				p.bound[ch.Machine] = w.Block
			}
		}
	}
	if len(txn.Then) == 0 {
		return
	}
	p.busy = true
	c.Do(message.Commit{Tag: tag, Txn: txn})
}

// blockChange is what a machine's record needs still, if anything.
func (c *Core) blockChange(id protocol.MachineID, r message.RecordChange) (ch blocks.Change, due bool) {
	m := c.machines[id]
	have := protocol.Version(0)
	if m != nil {
		have = m.Epoch
	}
	if have != r.Have {
		return ch, false // it has changed since: asked again if that is not enough
	}
	ch = blocks.Change{Machine: id, Bound: c.pen.bound[id]}
	if _, in := c.shelf.Where(id); m != nil && !in {
		ch.Single = m.Epoch
	}
	if r.To != nil {
		// Each stamp is above all before, and above the versions of records of
		// the other layout: terms are above 0, revisions far below 2^32.
		c.pen.stamps++
		ch.Entry = &bookkeeping.BlockEntry{ID: id, Epoch: protocol.Version(uint64(c.View.Term)<<32 | c.pen.stamps), Machine: *r.To}
	}
	return ch, m != nil || r.To != nil
}

// blocksWritten takes the outcome. Only a change that is seen in the records
// counts; until then a block that may have been written is left alone.
func (c *Core) blocksWritten(tag penTag, out message.Outcome) {
	p := &c.pen
	p.busy = false
	if out == message.OutcomeDone {
		for _, id := range tag.dropped {
			delete(p.wanted, id)
		}
		return
	}
	p.retryAt = c.After(penPause)
	for _, w := range tag.writes {
		delete(p.writing, w.Block)
	}
}

// blockSeen takes over a block's record.
func (c *Core) blockSeen(name string, b bookkeeping.Block, version protocol.Version) {
	delete(c.pen.writing, name)
	changed, gone := c.shelf.Set(name, version, b.Machines)
	for _, id := range gone {
		c.machineGone(id)
	}
	for _, e := range changed {
		c.machineRegistered(e.ID, e.Machine, e.Epoch)
	}
}

// blockGone: a block's record was deleted.
func (c *Core) blockGone(name string) {
	delete(c.pen.writing, name)
	for _, id := range c.shelf.Drop(name) {
		c.machineGone(id)
	}
}
