package recordblock

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"damsonkeel/internal/fixedseed"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }

func entry(id protocol.MachineID, epoch protocol.Version) *record.BlockEntry {
	return &record.BlockEntry{ID: id, Epoch: epoch, Machine: record.Machine{
		Session: 1 << 40, Address: "10.123.234.255:9000", Type: "rackturm", Zone: "dachraum", Spot: true,
	}}
}

// TestPack: whatever is asked for, no machine gets into two blocks, no limit is
// exceeded, and all is done within few transactions.
func TestPack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{
			Entries: rapid.IntRange(2, 9).Draw(t, "entries"), ValueBytes: rapid.IntRange(700, 4000).Draw(t, "value"),
			TxnBytes: rapid.IntRange(4000, 9000).Draw(t, "txn"), Ops: rapid.IntRange(2, 8).Draw(t, "ops"),
		}
		s := NewIndex()
		version := protocol.Version(0)
		singles := map[protocol.MachineID]protocol.Version{}
		for i := range rapid.IntRange(0, 5).Draw(t, "singles") {
			version++
			singles[protocol.MachineID(fmt.Sprint("vm-", i))] = version
		}
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			wanted := map[protocol.MachineID]Change{}
			for range rapid.IntRange(1, 30).Draw(t, "changes") {
				id := protocol.MachineID(fmt.Sprint("vm-", rapid.IntRange(0, 25).Draw(t, "machine")))
				version++
				c := Change{Machine: id, Entry: entry(id, version), Single: singles[id]}
				if _, there := s.BlockOf(id); there && rapid.Bool().Draw(t, "goes") {
					c.Entry = nil
				}
				wanted[id] = c
			}
			for tries := 0; len(wanted) > 0; tries++ {
				if tries > 40 {
					t.Fatalf("%d changes left: %v", len(wanted), wanted)
				}
				var changes []Change
				for _, c := range wanted {
					changes = append(changes, c)
				}
				ops, bytes, blocks := 0, 0, map[string]bool{}
				for _, w := range s.Pack(changes, func(string) bool { return false }, l) {
					text, err := json.Marshal(record.Block{Machines: w.Entries})
					if err != nil || len(text) > l.ValueBytes || len(w.Entries) > l.Entries || blocks[w.Block] {
						t.Fatalf("block %s of %d machines, %d bytes, again %v: %v", w.Block, len(w.Entries), len(text), blocks[w.Block], err)
					}
					blocks[w.Block] = true
					ops++
					bytes += len(text)
					for _, c := range w.Changes {
						if c.Single != 0 {
							ops++
							delete(singles, c.Machine)
						}
						delete(wanted, c.Machine)
					}
					version++
					if len(w.Entries) == 0 {
						s.Drop(w.Block)
					} else {
						s.Set(w.Block, version, w.Entries)
					}
				}
				if ops > l.Ops || bytes > l.TxnBytes {
					t.Fatalf("%d changes, %d bytes at once", ops, bytes)
				}
			}
			seen := map[protocol.MachineID]string{}
			for name, b := range s.blocks {
				for id := range b.entries {
					if other, twice := seen[id]; twice {
						t.Fatalf("%s is in %s and in %s", id, name, other)
					}
					seen[id] = name
				}
			}
		}
	})
}

// TestBoundStaysWhereItWas: a machine that a write without an answer may have
// placeAttempt into a block is put into no other, however full others are.
func TestBoundStaysWhereItWas(t *testing.T) {
	s := NewIndex()
	l := LimitsOf(16, 12)
	c := Change{Machine: "vm-1", Entry: entry("vm-1", 1), Bound: blockOf(s, t, l)}
	for _, busy := range []bool{false, true} {
		writes := s.Pack([]Change{c, {Machine: "vm-2", Entry: entry("vm-2", 2)}}, func(n string) bool { return busy && n == c.Bound }, l)
		for _, w := range writes {
			for _, ch := range w.Changes {
				if ch.Machine == "vm-1" && (busy || w.Block != c.Bound) {
					t.Errorf("vm-1 goes into %s, busy %v, bound to %s", w.Block, busy, c.Bound)
				}
			}
		}
		if len(writes) == 0 {
			t.Error("nothing is written")
		}
	}
}

// blockOf is the block that a first machine goes into.
func blockOf(s *Index, t *testing.T, l Limits) string {
	w := s.Pack([]Change{{Machine: "vm-0", Entry: entry("vm-0", 1)}}, func(string) bool { return false }, l)
	if len(w) != 1 {
		t.Fatalf("%d writes", len(w))
	}
	return w[0].Block
}
