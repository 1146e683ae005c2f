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

// TestPeerMessages checks the gob encodings of the messages between controllers, which
// net/rpc sends: the arguments and replies of calls, and each message that a batch can
// contain on its own.
func TestPeerMessages(t *testing.T) {
	checkMessages(t, gobFormat, []message{
		entry[peers.Batch, gobBatch]("batch"),
		entry[peers.BatchReply, uint8]("batch_reply"),
		entry[controller.ForwardedSubmission, gobSubmission]("submission"),
		entry[admission.Answer, gobAnswer]("submission_answer"),
		entry[protocol.JobID, string]("halt"),
		entry[bool, bool]("halt_reply"),

		entry[peers.PeerMessage, gobPeerMessage]("peer_message"),
		entry[peers.Place, gobPlace]("place"),
		entry[peers.Stop, gobStop]("stop"),
		entry[peers.TaskEvent, gobTaskEvent]("task_event"),
		entry[peers.TaskRef, gobTaskRef]("task_ref"),
		entry[peers.Inventory, gobInventory]("inventory"),
		entry[peers.WaitsAdded, gobAdded]("added"),
		entry[peers.StateUpdate, gobRelay]("relay"),
		entry[peers.MachineState, gobMachineState]("machine_state"),
		entry[peers.Progress, gobProgress]("progress"),
		entry[peers.Demand, gobDemand]("demand"),
		entry[peers.Load, gobLoad]("load"),
		entry[ratelimit.Request, gobAsk]("ask"),
		entry[ratelimit.Grant, gobLoan]("loan"),
		entry[peers.ReservationHolds, gobHolds]("holds"),
		entry[reservation.Hold, gobHold]("hold"),
		entry[reservation.Run, gobRun]("run"),
		entry[peers.RecordChange, gobRecordChange]("record_change"),
		entry[record.Machine, gobMachine]("machine"),
		entry[peers.CompletedTasks, gobDoneTasks]("done_tasks"),
		entry[peers.MoveShards, gobMove]("move"),
		entry[peers.Handover, gobHand]("hand"),
		entry[peers.HandoverQueue, gobHandedQueue]("handed_queue"),
		entry[peers.HandoverEntry, gobHandedEntry]("handed_entry"),
		entry[peers.WaitChange, gobWait]("wait"),
	})
}
