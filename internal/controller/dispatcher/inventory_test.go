package dispatcher

import (
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// TestInventoryListsAttemptsBeforeJobRecord checks that the inventory sent to the
// controller that placed an attempt lists the queued attempt before its job's record
// arrives.
func TestInventoryListsAttemptsBeforeJobRecord(t *testing.T) {
	f := newFixture(t)
	f.registerAndSendHeartbeat()
	f.dispatcher.QueuePlacements("node-0", &message.Place{Number: 5, Term: 1, Tasks: []message.Placement{{
		Task: protocol.TaskID{Job: "job-7"}, Attempt: 1, Machine: "vm-1", Epoch: f.dispatcher.Records["vm-1"].Epoch,
	}}})
	f.dispatcher.Local = nil
	f.dispatcher.sendInventory(f.queue())
	for _, m := range f.dispatcher.Local {
		if m.Inventory != nil && len(m.Inventory.Held) == 1 && m.Inventory.Held[0].Attempt == 1 {
			return
		}
	}
	t.Fatalf("no inventory lists the attempt: %+v", f.dispatcher.Local)
}
