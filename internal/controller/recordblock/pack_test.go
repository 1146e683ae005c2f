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

// newEntry returns the record of a machine with long strings.
func newEntry(id protocol.MachineID, epoch protocol.Version) *record.BlockEntry {
	return &record.BlockEntry{ID: id, Epoch: epoch, Machine: record.Machine{
		Session: 1 << 40, Address: "10.123.234.255:9000", Type: "himem-48", Zone: "region-a", Spot: true,
	}}
}

// notBusy reports every block as free.
func notBusy(string) bool { return false }

// drawChanges draws at most one pending change per machine. The epochs of the new records
// are above *version, which it advances.
func drawChanges(t *rapid.T, x *Index, singles map[protocol.MachineID]protocol.Version, version *protocol.Version) map[protocol.MachineID]Change {
	pending := map[protocol.MachineID]Change{}
	for range rapid.IntRange(1, 30).Draw(t, "changes") {
		id := protocol.MachineID(fmt.Sprint("vm-", rapid.IntRange(0, 25).Draw(t, "machine")))
		*version++
		c := Change{Machine: id, Entry: newEntry(id, *version), Single: singles[id]}
		if _, stored := x.BlockOf(id); stored && rapid.Bool().Draw(t, "removed") {
			c.Entry = nil
		}
		pending[id] = c
	}
	return pending
}

// TestPackStaysWithinLimits: for any requested changes, no machine gets into two blocks, no
// limit is exceeded, and the changes of a round are written within 41 transactions.
func TestPackStaysWithinLimits(t *testing.T) {
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
					t.Fatalf("%d changes still not written: %v", len(pending), pending)
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
			checkNoMachineInTwoBlocks(t, x)
		}
	})
}

// checkLimits fails the test if the writes of one transaction exceed a limit or write a
// block twice.
func checkLimits(t *rapid.T, writes []Write, limits Limits) {
	t.Helper()
	ops, bytes, blocks := 0, 0, map[string]bool{}
	for _, w := range writes {
		text, err := json.Marshal(record.Block{Machines: w.Entries})
		if err != nil || len(text) > limits.ValueBytes || len(w.Entries) > limits.Entries || blocks[w.Block] {
			t.Fatalf("block %s of %d machines, %d bytes, written twice: %v: %v", w.Block, len(w.Entries), len(text), blocks[w.Block], err)
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
		t.Fatalf("%d operations, %d bytes in one transaction", ops, bytes)
	}
}

// checkNoMachineInTwoBlocks fails the test if a machine is in two blocks.
func checkNoMachineInTwoBlocks(t *rapid.T, x *Index) {
	t.Helper()
	blockOf := map[protocol.MachineID]string{}
	for name, b := range x.blocks {
		for id := range b.entries {
			if other, twice := blockOf[id]; twice {
				t.Fatalf("machine %s is in block %s and in block %s", id, name, other)
			}
			blockOf[id] = name
		}
	}
}

// TestMachineOfUnansweredWriteKeepsItsBlock: a machine that an unanswered write may have
// added to a block is added to no other block, also while that block is busy.
func TestMachineOfUnansweredWriteKeepsItsBlock(t *testing.T) {
	x := NewIndex()
	limits := LimitsOf(16, 12)
	unanswered := Change{Machine: "vm-1", Entry: newEntry("vm-1", 1), RequiredBlock: blockOfFirstMachine(t, x, limits)}
	for _, busy := range []bool{false, true} {
		changes := []Change{unanswered, {Machine: "vm-2", Entry: newEntry("vm-2", 2)}}
		writes := x.Pack(changes, func(name string) bool { return busy && name == unanswered.RequiredBlock }, limits)
		for _, w := range writes {
			for _, c := range w.Changes {
				if c.Machine == "vm-1" && (busy || w.Block != unanswered.RequiredBlock) {
					t.Errorf("vm-1 is added to block %s, busy %v, want only %s", w.Block, busy, unanswered.RequiredBlock)
				}
			}
		}
		if len(writes) == 0 {
			t.Error("no block is written")
		}
	}
}

// blockOfFirstMachine returns the block that the first machine of an index is added to.
func blockOfFirstMachine(t *testing.T, x *Index, limits Limits) string {
	t.Helper()
	writes := x.Pack([]Change{{Machine: "vm-0", Entry: newEntry("vm-0", 1)}}, notBusy, limits)
	if len(writes) != 1 {
		t.Fatalf("%d writes of one machine, want 1", len(writes))
	}
	return writes[0].Block
}
