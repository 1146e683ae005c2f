package recordblock

import (
	"cmp"
	"maps"
	"slices"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Change is a requested change of one machine's record.
type Change struct {
	Machine protocol.MachineID
	Entry   *record.BlockEntry // the new record; nil removes the record
	// Single is the version of the machine's single record (one key per machine, outside
	// of any block), which is deleted in the same transaction; 0 if there is none.
	Single protocol.Version
	// RequiredBlock is set for a machine that is in no block but may have been added to one by an
	// unanswered write. It names that block, the only one that the machine may be added to.
	RequiredBlock string
}

// ops returns the number of operations that a change adds to a transaction, without the put
// of its block: 1 if it deletes a single record, else 0.
func (c *Change) ops() int {
	if c.Single != 0 {
		return 1
	}
	return 0
}

// Write is a planned write of one block.
type Write struct {
	Block   string
	Version protocol.Version    // version that the stored block must have; 0: it must not exist
	Entries []record.BlockEntry // all entries of the block; none: the block is deleted
	Changes []Change            // changes that the write applies
}

// Pack plans the writes of the next transaction. It writes the blocks with the most pending
// changes first, and adds new machines to these blocks, then to the blocks with the fewest
// entries, then to new blocks. It does not write blocks for which busy returns true, since
// an earlier transaction is writing them or its result has not been observed. Changes that
// exceed the limits remain for a later transaction: they are in none of the writes
// returned.
func (x *Index) Pack(changes []Change, busy func(block string) bool, limits Limits) []Write {
	p := &packer{index: x, limits: limits, busy: busy, byBlock: map[string][]Change{}, highestNumber: x.highestNumber}
	added := p.splitChanges(changes)
	p.changeBlocks()
	p.emptiest = x.emptiest(p.isFree, limits)
	for _, c := range added {
		if !p.addMachine(c) {
			break
		}
	}
	return p.writes()
}

// emptiest lists the names of the blocks for which free returns true and that are at most
// half full, by entries and by bytes, those with the fewest entries first. Fuller blocks
// are not used, since the write of a block that is nearly full would add only few machines.
func (x *Index) emptiest(free func(block string) bool, limits Limits) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(x.blocks)) {
		b := x.blocks[name]
		if free(name) && 2*len(b.entries) <= limits.Entries && 2*b.bytes <= limits.ValueBytes {
			names = append(names, name)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(len(x.blocks[a].entries), len(x.blocks[b].entries))
	})
	return names
}

// packer is the state of one call of Pack.
type packer struct {
	index  *Index
	limits Limits
	busy   func(block string) bool // an earlier transaction writes the block, or its result has not been observed

	byBlock       map[string][]Change // changes that are tied to a block, by block
	emptiest      []string            // blocks to add machines to next
	highestNumber uint64              // highest block number in use

	drafts []*draft
	ops    int // puts and deletes of the drafts
	bytes  int // estimated size of the drafts, in bytes of JSON
}

// splitChanges groups the changes that are tied to a block by that block (byBlock): the one
// that holds the machine's record or that Change.RequiredBlock names. It returns the
// additions of machines that may go into any block. It leaves out changes of busy blocks
// and removals of machines that are in no block.
func (p *packer) splitChanges(changes []Change) (added []Change) {
	for _, c := range changes {
		name, ok := p.index.blockOf[c.Machine]
		if !ok {
			name = c.RequiredBlock
		}
		switch {
		case name == "" && c.Entry != nil:
			added = append(added, c)
		case name != "" && !p.busy(name):
			p.byBlock[name] = append(p.byBlock[name], c)
		}
	}
	return added
}

// isFree reports whether a block is neither busy nor changed by this call.
func (p *packer) isFree(block string) bool {
	return p.byBlock[block] == nil && !p.busy(block)
}

// changeBlocks drafts the blocks with pending changes, those with the most changes first,
// and applies their changes as far as the operations of the transaction allow. A block that
// would exceed the bytes of the transaction is left out, unless it is the first.
func (p *packer) changeBlocks() {
	names := slices.Sorted(maps.Keys(p.byBlock))
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(len(p.byBlock[b]), len(p.byBlock[a]))
	})
	for _, name := range names {
		d := p.index.draft(name)
		for _, c := range p.byBlock[name] {
			if p.ops+d.ops+c.ops() <= p.limits.Ops {
				d.apply(c)
			}
		}
		first := len(p.drafts) == 0
		if len(d.changes) > 0 && (first || p.bytes+d.bytes <= p.limits.TransactionBytes) {
			p.addDraft(d)
		}
	}
}

// addDraft adds a draft to the transaction, and its operations and bytes to the sums.
func (p *packer) addDraft(d *draft) {
	p.drafts = append(p.drafts, d)
	p.ops += d.ops
	p.bytes += d.bytes
}

// addMachine adds the entry of a new machine to the first draft that it fits into, or to a
// further draft if there is none. It returns false, and adds no entry, if the limits of the
// transaction don't allow the addition.
func (p *packer) addMachine(c Change) bool {
	growth := estimateSize(*c.Entry)
	d := p.draftWithCapacity(growth)
	if d == nil {
		d = p.openDraft(c.ops(), growth)
	}
	if d == nil || p.ops+c.ops() > p.limits.Ops {
		return false
	}
	if len(p.drafts) > 1 && p.bytes+growth > p.limits.TransactionBytes {
		return false
	}
	d.apply(c)
	p.ops += c.ops()
	p.bytes += growth
	return true
}

// draftWithCapacity returns the first draft that one more entry of the given size in bytes
// fits into, or nil if there is none.
func (p *packer) draftWithCapacity(growth int) *draft {
	for _, d := range p.drafts {
		if len(d.entries) < p.limits.Entries && d.bytes+growth <= p.limits.ValueBytes {
			return d
		}
	}
	return nil
}

// openDraft adds a draft of a further block, the emptiest or a new one, for an entry of the
// given size in bytes whose change adds the given number of operations. It returns nil if
// the limits of the transaction don't allow both.
func (p *packer) openDraft(ops, growth int) *draft {
	if p.ops+1+ops > p.limits.Ops {
		return nil
	}
	d := p.index.draft(p.nextBlock())
	if len(p.drafts) > 0 && p.bytes+d.bytes+growth > p.limits.TransactionBytes {
		return nil
	}
	p.addDraft(d)
	return d
}

// nextBlock returns the name of the block with the fewest entries that is not drafted yet
// (from the list emptiest), or else the name of a new block.
func (p *packer) nextBlock() string {
	if len(p.emptiest) > 0 {
		name := p.emptiest[0]
		p.emptiest = p.emptiest[1:]
		return name
	}
	for {
		p.highestNumber++
		if name := record.BlockName(p.highestNumber); p.isFree(name) {
			return name
		}
	}
}

// writes returns the writes of the drafts that have changes.
func (p *packer) writes() []Write {
	var writes []Write
	for _, d := range p.drafts {
		if len(d.changes) > 0 {
			writes = append(writes, d.write())
		}
	}
	return writes
}
