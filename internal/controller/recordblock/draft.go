package recordblock

import (
	"maps"
	"slices"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// draft is a block with changes that are to be stored by the next transaction.
type draft struct {
	name    string
	version protocol.Version // of the stored block; 0: the block is new
	entries map[protocol.MachineID]record.BlockEntry
	bytes   int // estimated size of the entries in JSON
	changes []Change
	ops     int // puts and deletes in the transaction: of the block and of single records
}

// draft returns a draft of the stored block with the given name, or an empty one if no
// such block is stored.
func (x *Index) draft(name string) *draft {
	d := &draft{name: name, entries: map[protocol.MachineID]record.BlockEntry{}, ops: 1}
	if b := x.blocks[name]; b != nil {
		d.version = b.version
		d.bytes = b.bytes
		d.entries = maps.Clone(b.entries)
	}
	return d
}

// apply replaces, adds or removes the entry of the change's machine in the draft, and
// counts the operations and bytes.
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

// write returns the write that stores the draft, with the entries sorted by machine.
func (d *draft) write() Write {
	w := Write{Block: d.name, Version: d.version, Changes: d.changes}
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		w.Entries = append(w.Entries, d.entries[id])
	}
	return w
}
