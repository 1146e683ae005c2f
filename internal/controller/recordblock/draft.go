package recordblock

import (
	"maps"
	"slices"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// draft is a block as it would be written.
type draft struct {
	name    string
	version protocol.Version
	entries map[protocol.MachineID]record.BlockEntry
	bytes   int
	changes []Change
	ops     int // puts and deletes that it takes
}

// draft returns a block as it is stored, or an empty one of a new name.
func (x *Index) draft(name string) *draft {
	d := &draft{name: name, entries: map[protocol.MachineID]record.BlockEntry{}, ops: 1}
	if b := x.blocks[name]; b != nil {
		d.version = b.version
		d.bytes = b.bytes
		d.entries = maps.Clone(b.entries)
	}
	return d
}

// apply makes a change.
func (d *draft) apply(c Change) {
	if old, ok := d.entries[c.Machine]; ok {
		d.bytes -= estimateSize(old)
		delete(d.entries, c.Machine)
	}
	if c.Entry != nil {
		d.entries[c.Machine] = *c.Entry
		d.bytes += estimateSize(*c.Entry)
	}
	d.changes = append(d.changes, c)
	d.ops += c.ops()
}

// write returns the write that stores the draft, its entries in order of their machines.
func (d *draft) write() Write {
	w := Write{Block: d.name, Version: d.version, Changes: d.changes}
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		w.Entries = append(w.Entries, d.entries[id])
	}
	return w
}
