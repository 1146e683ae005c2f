package message

import (
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// PeerMessage is one message between controllers. Exactly one field is set.
type PeerMessage struct {
	Place     *Place              // queues attempts on machines of the receiver
	Stop      *Stop               // ends an attempt on a machine of the receiver
	Event     *TaskEvent          // notifies the receiver of an event of an attempt of its job
	Released  []TaskRef           // the attempts of several EventReleased in one message
	Forget    *TaskRef            // the owner has processed the attempt's end: the worker may forget it
	Inventory *Inventory          // lists the attempts of the receiver's jobs on a machine
	Added     *WaitsAdded         // changes the receiver's wait table
	Relay     *StateUpdate        // the regular state update of the sender
	Drain     *protocol.MachineID // the machine that its dispatcher is to drain
	Record    *RecordChange       // asks the receiver, as registrar, to change a machine's record
	AskTable  bool                // requests a copy of the receiver's wait table
	Done      *CompletedTasks     // completed tasks that the job's previous owner could not record
	Move      *MoveShards         // asks the receiver to hand shards over
	Hand      *Handover           // a piece of a shard that the sender hands over
	Table     []WaitChange        // answers AskTable: the wait of each machine, without uses
}

// Batch carries messages in order from one session to another. A message's number
// identifies it when it is sent again: the numbers in a batch ascend by one from First.
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

// RecordChange asks the registrar to write a machine's record, or to delete it. It is valid
// only in the term that it names and while the record still has the version Have.
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
