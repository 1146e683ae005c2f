package recordblock

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"damsonkeel/internal/fixedseed"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }

// entry is a record of a machine with long texts.
func entry(id protocol.MachineID, epoch protocol.Version) *record.BlockEntry {
	return &record.BlockEntry{ID: id, Epoch: epoch, Machine: record.Machine{
		Session: 1 << 40, Address: "10.123.234.255:9000", Type: "rackturm", Zone: "dachraum", Spot: true,
	}}
}

// notBusy reports every block as not being written.
func notBusy(string) bool { return false }

// drawChanges draws changes of some machines, whose versions are above the last one.
func drawChanges(t *rapid.T, x *Index, singles map[protocol.MachineID]protocol.Version, version *protocol.Version) map[protocol.MachineID]Change {
	pending := map[protocol.MachineID]Change{}
	for range rapid.IntRange(1, 30).Draw(t, "changes") {
		id := protocol.MachineID(fmt.Sprint("vm-", rapid.IntRange(0, 25).Draw(t, "machine")))
		*version++
		c := Change{Machine: id, Entry: entry(id, *version), Single: singles[id]}
		if _, stored := x.BlockOf(id); stored && rapid.Bool().Draw(t, "goes") {
			c.Entry = nil
		}
		pending[id] = c
	}
	return pending
}

// TestPack: whatever changes are requested, no machine gets into two blocks, no limit is
// exceeded, and all changes are made within few transactions.
func TestPack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Entries:          rapid.IntRange(2, 9).Draw(t, "entries"),
			ValueBytes:       rapid.IntRange(700, 4000).Draw(t, "value"),
			TransactionBytes: rapid.IntRange(4000, 9000).Draw(t, "txn"),
			Ops:              rapid.IntRange(2, 8).Draw(t, "ops"),
		}
		x := NewIndex()
		version := protocol.Version(0)
		singles := map[protocol.MachineID]protocol.Version{}
		for i := range rapid.IntRange(0, 5).Draw(t, "singles") {
			version++
			singles[protocol.MachineID(fmt.Sprint("vm-", i))] = version
		}
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			pending := drawChanges(t, x, singles, &version)
			for transactions := 0; len(pending) > 0; transactions++ {
				if transactions > 40 {
					t.Fatalf("%d changes left: %v", len(pending), pending)
				}
				writes := x.Pack(slices.Collect(maps.Values(pending)), notBusy, limits)
				checkLimits(t, writes, limits)
				for _, w := range writes {
					for _, c := range w.Changes {
						delete(singles, c.Machine)
						delete(pending, c.Machine)
					}
					version++
					if len(w.Entries) == 0 {
						x.Drop(w.Block)
					} else {
						x.Set(w.Block, version, w.Entries)
					}
				}
			}
			checkOneBlockEach(t, x)
		}
	})
}

// checkLimits fails if the writes of one transaction exceed a limit, or write a block
// twice.
func checkLimits(t *rapid.T, writes []Write, limits Limits) {
	t.Helper()
	ops, bytes, blocks := 0, 0, map[string]bool{}
	for _, w := range writes {
		text, err := json.Marshal(record.Block{Machines: w.Entries})
		if err != nil || len(text) > limits.ValueBytes || len(w.Entries) > limits.Entries || blocks[w.Block] {
			t.Fatalf("block %s of %d machines, %d bytes, again %v: %v", w.Block, len(w.Entries), len(text), blocks[w.Block], err)
		}
		blocks[w.Block] = true
		ops++
		bytes += len(text)
		for _, c := range w.Changes {
			if c.Single != 0 {
				ops++
			}
		}
	}
	if ops > limits.Ops || bytes > limits.TransactionBytes {
		t.Fatalf("%d changes, %d bytes at once", ops, bytes)
	}
}

// checkOneBlockEach fails if a machine is in two blocks.
func checkOneBlockEach(t *rapid.T, x *Index) {
	t.Helper()
	blockOf := map[protocol.MachineID]string{}
	for name, b := range x.blocks {
		for id := range b.entries {
			if other, twice := blockOf[id]; twice {
				t.Fatalf("%s is in %s and in %s", id, name, other)
			}
			blockOf[id] = name
		}
	}
}

// TestBoundStaysWhereItWas: a machine that an unanswered write may have put into a block
// is put into no other, however full others are.
func TestBoundStaysWhereItWas(t *testing.T) {
	x := NewIndex()
	limits := LimitsOf(16, 12)
	bound := Change{Machine: "vm-1", Entry: entry("vm-1", 1), Bound: firstBlock(t, x, limits)}
	for _, busy := range []bool{false, true} {
		changes := []Change{bound, {Machine: "vm-2", Entry: entry("vm-2", 2)}}
		writes := x.Pack(changes, func(name string) bool { return busy && name == bound.Bound }, limits)
		for _, w := range writes {
			for _, c := range w.Changes {
				if c.Machine == "vm-1" && (busy || w.Block != bound.Bound) {
					t.Errorf("vm-1 goes into %s, busy %v, bound to %s", w.Block, busy, bound.Bound)
				}
			}
		}
		if len(writes) == 0 {
			t.Error("nothing is written")
		}
	}
}

// firstBlock returns the block that a first machine goes into.
func firstBlock(t *testing.T, x *Index, limits Limits) string {
	t.Helper()
	writes := x.Pack([]Change{{Machine: "vm-0", Entry: entry("vm-0", 1)}}, notBusy, limits)
	if len(writes) != 1 {
		t.Fatalf("%d writes", len(writes))
	}
	return writes[0].Block
}
