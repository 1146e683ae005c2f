package compat

import (
	"testing"

	"damsonkeel/internal/controller"
	"damsonkeel/internal/controller/admission"
	peers "damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ratelimit"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// TestPeerMessages checks what controllers send one another by net/rpc, in gob form: the
// arguments and replies of calls, and the parts of a batch, each alone too.
func TestPeerMessages(t *testing.T) {
	checkMessages(t, gobFormat, []message{
		entry[peers.Batch, gobBatch]("batch"),
		entry[peers.BatchReply, uint8]("batch_reply"),
		entry[controller.Submission, gobSubmission]("submission"),
		entry[admission.Answer, gobAnswer]("submission_answer"),
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
		entry[ratelimit.Ask, gobAsk]("ask"),
		entry[ratelimit.Loan, gobLoan]("loan"),
		entry[peers.Holds, gobHolds]("holds"),
		entry[reservation.Hold, gobHold]("hold"),
		entry[reservation.Run, gobRun]("run"),
		entry[peers.RecordChange, gobRecordChange]("record_change"),
		entry[record.Machine, gobMachine]("machine"),
		entry[peers.DoneTasks, gobDoneTasks]("done_tasks"),
		entry[peers.Move, gobMove]("move"),
		entry[peers.Hand, gobHand]("hand"),
		entry[peers.HandedQueue, gobHandedQueue]("handed_queue"),
		entry[peers.HandedEntry, gobHandedEntry]("handed_entry"),
		entry[peers.Wait, gobWait]("wait"),
	})
}
