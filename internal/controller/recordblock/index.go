package recordblock

import (
	"slices"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Index holds all blocks as they are stored, as far as they were passed to Set and Drop.
type Index struct {
	blocks        map[string]*block             // by name
	blockOf       map[protocol.MachineID]string // name of the block that holds a machine's record
	highestNumber uint64                        // highest block number seen
}

// block is one stored block.
type block struct {
	version protocol.Version
	entries map[protocol.MachineID]record.BlockEntry
	bytes   int // estimated size of the entries in JSON
}

// NewIndex returns an index without blocks.
func NewIndex() *Index {
	return &Index{blocks: map[string]*block{}, blockOf: map[protocol.MachineID]string{}}
}

// Len returns the number of blocks.
func (x *Index) Len() int { return len(x.blocks) }

// BlockOf returns the name of the block that holds a machine's record; ok is false if no
// block holds it.
func (x *Index) BlockOf(id protocol.MachineID) (name string, ok bool) {
	name, ok = x.blockOf[id]
	return name, ok
}

// Set adds a block of the given name and version, or replaces its content. It returns the
// entries that are new or have another epoch, in the given order, and the machines that
// were removed from the block, sorted by ID. A machine that another block holds by now
// doesn't count as removed.
func (x *Index) Set(name string, version protocol.Version, entries []record.BlockEntry) (changed []record.BlockEntry, removed []protocol.MachineID) {
	before := x.blocks[name]
	if before == nil {
		before = &block{}
	}
	b := &block{version: version, entries: make(map[protocol.MachineID]record.BlockEntry, len(entries))}
	for _, entry := range entries {
		b.entries[entry.ID] = entry
		b.bytes += estimateSize(entry)
		if old, ok := before.entries[entry.ID]; !ok || old.Epoch != entry.Epoch {
			changed = append(changed, entry)
		}
	}
	for id := range before.entries {
		if _, ok := b.entries[id]; !ok && x.blockOf[id] == name {
			delete(x.blockOf, id)
			removed = append(removed, id)
		}
	}
	for _, entry := range entries {
		x.blockOf[entry.ID] = name
	}
	x.blocks[name] = b
	x.highestNumber = max(x.highestNumber, record.BlockNumber(name))
	slices.Sort(removed)
	return changed, removed
}

// Drop removes a block, and returns the machines whose records it held, sorted by ID. A
// machine that another block holds by now is not returned.
func (x *Index) Drop(name string) (removed []protocol.MachineID) {
	_, removed = x.Set(name, 0, nil)
	delete(x.blocks, name)
	return removed
}

// entryOverhead is the maximum size in bytes of an entry in JSON, without its strings.
const entryOverhead = 130

// estimateSize returns an upper estimate of the size of an entry in JSON, in bytes.
func estimateSize(e record.BlockEntry) int {
	return entryOverhead + len(e.ID) + len(e.Address) + len(e.Type) + len(e.Zone)
}
