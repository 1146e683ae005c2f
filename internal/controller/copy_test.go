package controller

import (
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// TestTableCopy: a restarted controller asks two peers, then two more, takes
// the first table that comes and no other.
func TestTableCopy(t *testing.T) {
	b := newBench(t, "node-1", "node-2", "node-3", "node-4")
	asked := func(actions []message.Action) (names []protocol.NodeName) {
		for _, a := range actions {
			if s, ok := a.(message.Send); ok && s.Message.AskTable {
				names = append(names, s.To)
			}
		}
		return names
	}
	if n := len(b.c.table.Copy.ToAsk); n != 2 {
		t.Fatalf("%d left to ask at first", n)
	}
	if got := asked(b.step(message.Tick{})); len(got) != 0 {
		t.Fatalf("asked %v before the wait was over", got)
	}
	b.now += Time(b.c.Op.CopyWait)
	if got := asked(b.step(message.Tick{})); len(got) != 2 {
		t.Fatalf("asked %v after the wait", got)
	}
	b.machine("vm-1", 1)
	b.c.table.Fill([]message.WaitChange{{Machine: "vm-1", Add: 7}})
	b.c.table.Fill([]message.WaitChange{{Machine: "vm-1", Add: 9}})
	if got := b.c.table.Machines["vm-1"].Wait(); got != 7 {
		t.Errorf("wait %v, want the first table's", got)
	}
}
