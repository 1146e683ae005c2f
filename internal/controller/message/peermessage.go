package message

import (
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// PeerMessage is one message between controllers. Exactly one field is set.
type PeerMessage struct {
	Place     *Place
	Stop      *Stop
	Event     *TaskEvent
	Released  []TaskRef // the attempts of several EventReleased in one message
	Forget    *TaskRef  // the owner has processed the attempt's end: the worker may forget it
	Inventory *Inventory
	Added     *WaitsAdded
	Relay     *StateUpdate
	Drain     *protocol.MachineID // the machine that its dispatcher is to drain
	Record    *RecordChange
	AskTable  bool // requests a copy of the receiver's wait table
	Done      *CompletedTasks
	Move      *MoveShards
	Hand      *Handover
	Table     []WaitChange // answers AskTable: the wait of each machine, without uses
}

// Batch carries messages in order from one session to another. The number of a message
// identifies it when it is sent again.
type Batch struct {
	From        protocol.NodeName
	FromSession protocol.LeaseID
	ToSession   protocol.LeaseID
	Term        protocol.Term // of the sender's view
	Shares      protocol.Term // epoch of the sender's shard table
	First       uint64        // number of the first message
	Messages    []PeerMessage
}

// BatchReply reports whether a batch was accepted. Its numbers are sent to peers.
type BatchReply uint8

// The replies to batches.
const (
	BatchAccepted BatchReply = iota + 1
	BatchBehind              // the receiver has not observed the sender's term or shard table yet: retry
	BatchStale               // one of the sessions has ended: drop the batch
	BatchExcluded            // as BatchStale, and the receiver holds its lease in a view without the sender
)

// RecordChange asks the registrar to write a machine's record, or to delete it.
type RecordChange struct {
	Term    protocol.Term
	Machine protocol.MachineID
	// Tenure is the epoch at which the sender took over the machine's shard. A removal is
	// valid only while the sender still holds the shard in that epoch, since another holder
	// may have answered the machine in the meantime. 0: the change does not depend on it.
	Tenure protocol.Term
	From   protocol.NodeName // the sender; set by the registrar
	Have   protocol.Version  // version of the record that the sender has observed; 0: none
	To     *record.Machine   // the new record; nil: delete the record
}
