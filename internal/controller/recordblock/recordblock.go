// Package recordblock keeps the records of many machines in few records of the state
// service, and decides which of these to write so that a wave of machines costs
// few changes. It decides only; who may write, and on which conditions, is the
// registrar's matter (docs/machine-records.md).
package recordblock

import (
	"cmp"
	"maps"
	"slices"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Limits bound what is written at once.
type Limits struct {
	Entries    int // machines in one block
	ValueBytes int // reservation one block, in the form of JSON
	TxnBytes   int // reservation all blocks of one transaction
	Ops        int // puts and deletes of one transaction
}

// entriesMost bounds a block: each change of one of its machines is passed to
// every controller with all others.
const entriesMost = 64

// LimitsOf fits the limits to those of the state service, with room to spare:
// sizes are reckoned, not measured.
func LimitsOf(valueKB float64, txnOps int) Limits {
	return Limits{Entries: entriesMost, ValueBytes: int(valueKB * 1024 * 3 / 4), TxnBytes: 48 << 10, Ops: max(txnOps, 1)}
}

// Index is all blocks as the records have them.
type Index struct {
	blocks map[string]*block
	where  map[protocol.MachineID]string
	last   uint64 // placeNumber of the newest block seen
}

type block struct {
	version protocol.Version
	entries map[protocol.MachineID]record.BlockEntry
	bytes   int
}

// NewIndex has no blocks.
func NewIndex() *Index {
	return &Index{blocks: map[string]*block{}, where: map[protocol.MachineID]string{}}
}

// Len is how many blocks there are.
func (s *Index) Len() int { return len(s.blocks) }

// BlockOf is the block that holds a machine's record, if one does.
func (s *Index) BlockOf(id protocol.MachineID) (name string, ok bool) {
	name, ok = s.where[id]
	return name, ok
}

// Set takes over a block's record. It returns the entries that are new or have
// recordChanged, and the machines that are in it no more, both in order.
func (s *Index) Set(name string, version protocol.Version, entries []record.BlockEntry) (changed []record.BlockEntry, gone []protocol.MachineID) {
	was := s.blocks[name]
	if was == nil {
		was = &block{}
	}
	b := &block{version: version, entries: make(map[protocol.MachineID]record.BlockEntry, len(entries))}
	for _, e := range entries {
		b.entries[e.ID] = e
		b.bytes += size(e)
		if have, ok := was.entries[e.ID]; !ok || have.Epoch != e.Epoch {
			changed = append(changed, e)
		}
	}
	for id := range was.entries {
		if _, ok := b.entries[id]; !ok && s.where[id] == name {
			delete(s.where, id)
			gone = append(gone, id)
		}
	}
	for _, e := range entries {
		s.where[e.ID] = name
	}
	s.blocks[name] = b
	s.last = max(s.last, record.BlockNumber(name))
	slices.Sort(gone)
	return changed, gone
}

// Drop takes over that a block has gone, and returns the machines that were in
// it.
func (s *Index) Drop(name string) (gone []protocol.MachineID) {
	_, gone = s.Set(name, 0, nil)
	delete(s.blocks, name)
	return gone
}

// Change is what is to become of one machine's record.
type Change struct {
	Machine protocol.MachineID
	Entry   *record.BlockEntry // nil: it goes
	// Single is the version of the machine's record of its own, which goes in
	// the same transaction; 0: it has none.
	Single protocol.Version
	// Bound is the only block that a machine in none may be put into: one that
	// it may have been put into already, by a write without an answer.
	Bound string
}

// ops is how many puts and deletes a change takes beside its block's.
func (c *Change) ops() int {
	if c.Single != 0 {
		return 1
	}
	return 0
}

// Write is one block to be written.
type Write struct {
	Block   string
	Version protocol.Version // that it must have still; 0: it must not exist
	Entries []record.BlockEntry
	Changes []Change // that it brings
}

// draft is a block as it would be written.
type draft struct {
	name    string
	version protocol.Version
	entries map[protocol.MachineID]record.BlockEntry
	bytes   int
	changes []Change
	ops     int
}

func (s *Index) draft(name string) *draft {
	d := &draft{name: name, entries: map[protocol.MachineID]record.BlockEntry{}, ops: 1}
	if b := s.blocks[name]; b != nil {
		d.version, d.bytes, d.entries = b.version, b.bytes, maps.Clone(b.entries)
	}
	return d
}

func (d *draft) apply(c Change) {
	if have, ok := d.entries[c.Machine]; ok {
		d.bytes -= size(have)
		delete(d.entries, c.Machine)
	}
	if c.Entry != nil {
		d.entries[c.Machine] = *c.Entry
		d.bytes += size(*c.Entry)
	}
	d.changes = append(d.changes, c)
	d.ops += c.ops()
}

// Pack chooses what to write first: the blocks with the most waiting changes,
// and new machines into these, then into those with the most room, then into new
// ones. Blocks that are being written are left alone. What does not fit the
// limits is left for the next transaction.
func (s *Index) Pack(changes []Change, busy func(block string) bool, l Limits) []Write {
	byBlock := map[string][]Change{}
	var fresh []Change
	for _, c := range changes {
		name, ok := s.where[c.Machine]
		if !ok {
			name = c.Bound
		}
		switch {
		case name == "" && c.Entry != nil:
			fresh = append(fresh, c)
		case name != "" && !busy(name):
			byBlock[name] = append(byBlock[name], c)
		}
	}
	names := slices.Sorted(maps.Keys(byBlock))
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(len(byBlock[b]), len(byBlock[a])) })
	var drafts []*draft
	ops, bytes := 0, 0
	add := func(d *draft) {
		drafts = append(drafts, d)
		ops += d.ops
		bytes += d.bytes
	}
	for _, name := range names {
		d := s.draft(name)
		for _, c := range byBlock[name] {
			if ops+d.ops+c.ops() <= l.Ops {
				d.apply(c)
			}
		}
		if len(d.changes) > 0 && (len(drafts) == 0 || bytes+d.bytes <= l.TxnBytes) {
			add(d)
		}
	}
	room := s.leastFilled(byBlock, busy, l)
	next := s.last
	for _, c := range fresh {
		cost := c.ops()
		grown := size(*c.Entry)
		var into *draft
		for _, d := range drafts {
			if len(d.entries) < l.Entries && d.bytes+grown <= l.ValueBytes {
				into = d
				break
			}
		}
		if into == nil {
			if ops+1+cost > l.Ops {
				break
			}
			name := ""
			if len(room) > 0 {
				name, room = room[0], room[1:]
			}
			for name == "" {
				next++
				if n := record.BlockName(next); !busy(n) && byBlock[n] == nil {
					name = n
				}
			}
			into = s.draft(name)
			if len(drafts) > 0 && bytes+into.bytes+grown > l.TxnBytes {
				break
			}
			add(into)
		}
		if ops+cost > l.Ops || len(drafts) > 1 && bytes+grown > l.TxnBytes {
			break
		}
		into.apply(c)
		ops += cost
		bytes += grown
	}
	var writes []Write
	for _, d := range drafts {
		if len(d.changes) == 0 {
			continue
		}
		w := Write{Block: d.name, Version: d.version, Changes: d.changes}
		for _, id := range slices.Sorted(maps.Keys(d.entries)) {
			w.Entries = append(w.Entries, d.entries[id])
		}
		writes = append(writes, w)
	}
	return writes
}

// leastFilled lists the blocks that are at most half full, the emptiest first: to
// fill up one that is nearly full would cost a change for few machines.
func (s *Index) leastFilled(but map[string][]Change, busy func(string) bool, l Limits) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(s.blocks)) {
		b := s.blocks[name]
		if but[name] == nil && !busy(name) && 2*len(b.entries) <= l.Entries && 2*b.bytes <= l.ValueBytes {
			names = append(names, name)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(len(s.blocks[a].entries), len(s.blocks[b].entries)) })
	return names
}

// size is about how much an entry takes in the form of JSON, rather more.
func size(e record.BlockEntry) int {
	return 130 + len(e.ID) + len(e.Address) + len(e.Type) + len(e.Zone)
}
