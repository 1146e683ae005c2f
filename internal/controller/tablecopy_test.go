package controller

import (
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// askedForTable returns the peers that are asked for their table.
func askedForTable(actions []message.Action) (names []protocol.NodeName) {
	for _, a := range actions {
		if s, ok := a.(message.Send); ok && s.Message.AskTable {
			names = append(names, s.To)
		}
	}
	return names
}

// TestRestartedControllerAsksTwoPeersAtATime: a controller that starts asks two of its
// four peers for a table, which leaves two to ask when no answer arrives in time.
func TestRestartedControllerAsksTwoPeersAtATime(t *testing.T) {
	b := newBench(t, "node-1", "node-2", "node-3", "node-4") // its first view has it ask
	if got := askedForTable(b.step(message.Tick{})); len(got) != 0 {
		t.Fatalf("asked %v before the wait was over", got)
	}
	b.now += Time(b.c.Operator.CopyWait)
	if got := askedForTable(b.step(message.Tick{})); len(got) != 2 {
		t.Fatalf("asked %v after the wait, want the two peers left", got)
	}
	b.now += Time(b.c.Operator.CopyWait)
	if got := askedForTable(b.step(message.Tick{})); len(got) != 0 {
		t.Fatalf("asked %v though all had been asked", got)
	}
}

// TestFirstTableCopyIsAdopted: of two copies that arrive only the first is used.
func TestFirstTableCopyIsAdopted(t *testing.T) {
	b := newBench(t, "node-1", "node-2", "node-3", "node-4")
	b.machine("vm-1", 1)
	b.c.waitTable.AdoptCopy([]message.WaitChange{{Machine: "vm-1", Add: 7}})
	b.c.waitTable.AdoptCopy([]message.WaitChange{{Machine: "vm-1", Add: 9}})
	if got := b.c.waitTable.Machines["vm-1"].Wait(); got != 7 {
		t.Errorf("wait %v, want the first table's", got)
	}
}
