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
	Entry   *record.BlockEntry // the new record; nil: it is removed
	// Single is the version of the machine's single record, which is deleted in the same
	// transaction; 0: it has none.
	Single protocol.Version
	// Bound is the only block that a machine which is in none may be put into: one that
	// an unanswered write may already have put it into.
	Bound string
}

// ops is how many puts and deletes a change takes beside the put of its block.
func (c *Change) ops() int {
	if c.Single != 0 {
		return 1
	}
	return 0
}

// Write is one block to be written.
type Write struct {
	Block   string
	Version protocol.Version // that the stored block must have; 0: it must not exist
	Entries []record.BlockEntry
	Changes []Change // that the write makes
}

// Pack chooses what to write first: the blocks with the most pending changes, and new
// machines into these, then into the emptiest blocks, then into new ones. Busy blocks,
// which are being written already, are left alone. What does not fit the limits is left
// for the next transaction.
func (x *Index) Pack(changes []Change, busy func(block string) bool, limits Limits) []Write {
	p := &packer{index: x, limits: limits, busy: busy, byBlock: map[string][]Change{}, newest: x.newest}
	added := p.sort(changes)
	p.changeBlocks()
	p.emptiest = x.emptiest(p.isFree, limits)
	for _, c := range added {
		if !p.add(c) {
			break
		}
	}
	return p.writes()
}

// emptiest lists the free blocks that are at most half full, those with the fewest
// entries first: filling up a block that is nearly full would cost a write for few
// machines.
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
	busy   func(block string) bool

	byBlock  map[string][]Change // changes of machines that have their block
	emptiest []string            // blocks to add machines to next
	newest   uint64              // the highest number of a block in use

	drafts []*draft
	ops    int // puts and deletes of the drafts
	bytes  int // size of the drafts
}

// sort divides the changes into those of blocks that are not busy and machines to be
// added to any block, which it returns.
func (p *packer) sort(changes []Change) (added []Change) {
	for _, c := range changes {
		name, ok := p.index.blockOf[c.Machine]
		if !ok {
			name = c.Bound
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

// changeBlocks drafts the blocks with changes, those with the most of them first.
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

func (p *packer) addDraft(d *draft) {
	p.drafts = append(p.drafts, d)
	p.ops += d.ops
	p.bytes += d.bytes
}

// add puts a new machine into the first draft with capacity, or into a further one. It
// reports whether the transaction has capacity for it.
func (p *packer) add(c Change) bool {
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

// draftWithCapacity returns the first draft that one more entry fits into.
func (p *packer) draftWithCapacity(growth int) *draft {
	for _, d := range p.drafts {
		if len(d.entries) < p.limits.Entries && d.bytes+growth <= p.limits.ValueBytes {
			return d
		}
	}
	return nil
}

// openDraft drafts a further block for an entry; nil if the transaction has no capacity
// for it.
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

// nextBlock returns the emptiest block left, or a new one.
func (p *packer) nextBlock() string {
	if len(p.emptiest) > 0 {
		name := p.emptiest[0]
		p.emptiest = p.emptiest[1:]
		return name
	}
	for {
		p.newest++
		if name := record.BlockName(p.newest); p.isFree(name) {
			return name
		}
	}
}

// writes returns the drafts that change anything.
func (p *packer) writes() []Write {
	var writes []Write
	for _, d := range p.drafts {
		if len(d.changes) > 0 {
			writes = append(writes, d.write())
		}
	}
	return writes
}
