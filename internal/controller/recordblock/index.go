package recordblock

import (
	"slices"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Index is all blocks as they are stored.
type Index struct {
	blocks  map[string]*block
	blockOf map[protocol.MachineID]string
	newest  uint64 // the highest number of a block seen
}

type block struct {
	version protocol.Version
	entries map[protocol.MachineID]record.BlockEntry
	bytes   int
}

// NewIndex returns an index without blocks.
func NewIndex() *Index {
	return &Index{blocks: map[string]*block{}, blockOf: map[protocol.MachineID]string{}}
}

// Len returns the number of blocks.
func (x *Index) Len() int { return len(x.blocks) }

// BlockOf returns the block that holds a machine's record, if one does.
func (x *Index) BlockOf(id protocol.MachineID) (name string, ok bool) {
	name, ok = x.blockOf[id]
	return name, ok
}

// Set installs a block. It returns the entries that are new or have changed, in the order
// given, and the machines that are no longer in it, in order of their names.
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
	x.newest = max(x.newest, record.BlockNumber(name))
	slices.Sort(removed)
	return changed, removed
}

// Drop removes a block, and returns the machines that were in it.
func (x *Index) Drop(name string) (removed []protocol.MachineID) {
	_, removed = x.Set(name, 0, nil)
	delete(x.blocks, name)
	return removed
}

// entryOverhead is what the JSON form of an entry takes beside its texts, at most.
const entryOverhead = 130

// estimateSize is the size of an entry in JSON, rather overestimated.
func estimateSize(e record.BlockEntry) int {
	return entryOverhead + len(e.ID) + len(e.Address) + len(e.Type) + len(e.Zone)
}
