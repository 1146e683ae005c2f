package dispatcher

import (
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// TestInventoryListsAttemptsBeforeJobRecord: an inventory lists a queued attempt
// whose job's record has not arrived here yet, to the controller that placed it.
func TestInventoryListsAttemptsBeforeJobRecord(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.dispatcher.Place("node-0", &message.Place{Number: 5, Term: 1, Tasks: []message.Placement{{
		Task: protocol.TaskID{Job: "job-7"}, Attempt: 1, Machine: "vm-1", Epoch: b.dispatcher.Records["vm-1"].Epoch,
	}}})
	b.dispatcher.Local = nil
	b.dispatcher.sendInventory(b.queue())
	for _, m := range b.dispatcher.Local {
		if m.Inventory != nil && len(m.Inventory.Held) == 1 && m.Inventory.Held[0].Attempt == 1 {
			return
		}
	}
	t.Fatalf("not listed: %+v", b.dispatcher.Local)
}
