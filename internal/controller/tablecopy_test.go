package controller

import (
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// tableRequestReceivers returns the peers to which the actions send a request for their wait
// table.
func tableRequestReceivers(actions []message.Action) (names []protocol.NodeName) {
	for _, a := range actions {
		if s, ok := a.(message.Send); ok && s.Message.AskTable {
			names = append(names, s.To)
		}
	}
	return names
}

// TestRestartedControllerRequestsTableFromTwoPeersAtATime: a controller that has started requests
// the wait table from two of its four peers, and from the other two if no answer arrives in
// time.
func TestRestartedControllerRequestsTableFromTwoPeersAtATime(t *testing.T) {
	h := newHarness(t, "node-1", "node-2", "node-3", "node-4") // adopts its first view, which triggers the first requests
	if got := tableRequestReceivers(h.step(message.Tick{})); len(got) != 0 {
		t.Fatalf("requests to %v before the wait for an answer has ended", got)
	}
	h.now += Time(h.core.Operator.CopyWait)
	if got := tableRequestReceivers(h.step(message.Tick{})); len(got) != 2 {
		t.Fatalf("requests to %v after the wait for an answer, want the two remaining peers", got)
	}
	h.now += Time(h.core.Operator.CopyWait)
	if got := tableRequestReceivers(h.step(message.Tick{})); len(got) != 0 {
		t.Fatalf("requests to %v although all peers have received one", got)
	}
}

// TestFirstTableCopyIsAdopted: if two copies of the wait table arrive, only the first is adopted.
func TestFirstTableCopyIsAdopted(t *testing.T) {
	h := newHarness(t, "node-1", "node-2", "node-3", "node-4")
	h.registerMachine("vm-1", 1)
	h.core.waitTable.AdoptCopy([]message.WaitChange{{Machine: "vm-1", Add: 7}})
	h.core.waitTable.AdoptCopy([]message.WaitChange{{Machine: "vm-1", Add: 9}})
	if got := h.core.waitTable.Machines["vm-1"].Wait(); got != 7 {
		t.Errorf("wait %v, want 7, the wait in the first copy", got)
	}
}
