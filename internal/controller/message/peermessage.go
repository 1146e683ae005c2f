package message

import (
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// PeerMessage is one message between controllers; one field is set.
type PeerMessage struct {
	Place     *Place
	Stop      *Stop
	Event     *TaskEvent
	Released  []TaskRef // events of this kind, many at once
	Forget    *TaskRef
	Inventory *Inventory
	Added     *WaitsAdded
	Relay     *StateUpdate
	Drain     *protocol.MachineID
	Record    *RecordChange
	AskTable  bool
	Done      *CompletedTasks
	Move      *MoveShards
	Hand      *Handover
	Table     []WaitChange
}

// Batch carries messages in order from one session to another. A repeated message is
// recognised by its number.
type Batch struct {
	From        protocol.NodeName
	FromSession protocol.LeaseID
	ToSession   protocol.LeaseID
	Term        protocol.Term
	Shares      protocol.Term // epoch of the sender's shard table
	First       uint64        // number of the first message
	Messages    []PeerMessage
}

// BatchReply says whether a batch was accepted. Its numbers are sent to peers.
type BatchReply uint8

// The replies to batches.
const (
	BatchAccepted BatchReply = iota + 1
	BatchBehind              // the receiver has not observed the sender's term yet: retry
	BatchStale               // one of the sessions has ended: drop the batch
	BatchExcluded            // the same, and the receiver leads in a view without the sender
)

// RecordChange asks the registrar to write a machine's record, or to delete it.
type RecordChange struct {
	Term    protocol.Term
	Machine protocol.MachineID
	// Tenure is the epoch of the sender as the holder of the machine's shard, which a
	// removal depends on: no other controller can have answered the machine since. 0: it
	// does not depend on it.
	Tenure protocol.Term
	From   protocol.NodeName // set by the registrar
	Have   protocol.Version  // epoch of the record that the sender knows; 0: none
	To     *record.Machine
}
