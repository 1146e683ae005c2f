package compat

import (
	"testing"

	"damsonkeel/internal/bookkeeping"
	"damsonkeel/internal/coordination"
	"damsonkeel/internal/coordination/calendar"
	"damsonkeel/internal/coordination/intake"
	peers "damsonkeel/internal/coordination/message"
	"damsonkeel/internal/coordination/ratesharing"
	"damsonkeel/internal/protocol"
)

// TestPeerMessages checks what controllers send one another by net/rpc, in gob form: the
// arguments and replies of calls, and the parts of a batch, each alone too.
func TestPeerMessages(t *testing.T) {
	checkMessages(t, gobFormat, []message{
		entry[peers.Batch, gobBatch]("batch"),
		entry[peers.BatchReply, uint8]("batch_reply"),
		entry[coordination.Submission, gobSubmission]("submission"),
		entry[intake.Answer, gobAnswer]("submission_answer"),
		entry[protocol.JobID, string]("halt"),
		entry[bool, bool]("halt_reply"),

		entry[peers.PeerMessage, gobPeerMessage]("peer_message"),
		entry[peers.Place, gobPlace]("place"),
		entry[peers.Stop, gobStop]("stop"),
		entry[peers.TaskEvent, gobTaskEvent]("task_event"),
		entry[peers.TaskRef, gobTaskRef]("task_ref"),
		entry[peers.Inventory, gobInventory]("inventory"),
		entry[peers.Added, gobAdded]("added"),
		entry[peers.Relay, gobRelay]("relay"),
		entry[peers.MachineState, gobMachineState]("machine_state"),
		entry[peers.Progress, gobProgress]("progress"),
		entry[peers.Demand, gobDemand]("demand"),
		entry[peers.Load, gobLoad]("load"),
		entry[ratesharing.Ask, gobAsk]("ask"),
		entry[ratesharing.Loan, gobLoan]("loan"),
		entry[peers.Holds, gobHolds]("holds"),
		entry[calendar.Hold, gobHold]("hold"),
		entry[calendar.Run, gobRun]("run"),
		entry[peers.RecordChange, gobRecordChange]("record_change"),
		entry[bookkeeping.Machine, gobMachine]("machine"),
		entry[peers.DoneTasks, gobDoneTasks]("done_tasks"),
		entry[peers.Move, gobMove]("move"),
		entry[peers.Hand, gobHand]("hand"),
		entry[peers.HandedQueue, gobHandedQueue]("handed_queue"),
		entry[peers.HandedEntry, gobHandedEntry]("handed_entry"),
		entry[peers.Wait, gobWait]("wait"),
	})
}
