package message

import (
	"time"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Tenured identifies a shard in the period in which one controller holds it.
type Tenured struct {
	Share  int           // the shard
	Tenure protocol.Term // the epoch at which its holder took it over
}

// MoveShards asks the holder of shards to hand them over to another controller.
type MoveShards struct {
	Term   protocol.Term
	Shares []Tenured         // the shards to hand over
	To     protocol.NodeName // the controller that takes them over
	Cause  string            // why they move
}

// Handover is one piece of the state of a shard that is handed over: the state of some of
// the shard's machines.
type Handover struct {
	Term protocol.Term
	Tenured
	// Epoch is the shard's epoch at the start of the handover. If the old holder keeps the
	// shard, it raises the epoch, which invalidates the handover.
	Epoch         protocol.Term
	Piece, Pieces int             // index of this piece, from 0, and number of pieces of the handover
	Queues        []HandoverQueue // one for each machine in this piece
}

// HandoverQueue is a dispatcher's state of one machine. Times are sent as ages, since the
// clocks of controllers differ.
type HandoverQueue struct {
	Machine protocol.MachineID
	Epoch   protocol.Version    // version of the machine's record
	Session protocol.AgentEpoch // the newest agent epoch of its worker
	Seq     protocol.Seq        // of the worker's latest heartbeat or answer to direct commands
	Seen    protocol.Term       // the highest fencing token that the worker has reported
	Entries []HandoverEntry     // queued attempts are in order of arrival
	Known   bool                // the worker has listed its attempts to its dispatcher
	// Sole: the old dispatcher has held the machine without a break since the worker saw a
	// fencing token of that dispatcher, so no other controller can have started anything.
	Sole     bool
	Everseen bool             // the worker has contacted its dispatcher
	NoticeS  *float64         // seconds until the cloud terminates the machine; nil: no notice
	Draining bool             // no more attempts are started on the machine
	Suspect  bool             // the machine is quarantined
	Failed   []protocol.JobID // jobs that have failed there since a task last succeeded
	Images   []string         // images fetched lately, the latest last
	Idle     time.Duration    // time since the machine became idle
}

// HandoverEntry is one attempt in a HandoverQueue.
type HandoverEntry struct {
	Task      protocol.TaskID
	Attempt   protocol.Attempt
	EstimateS float64         // estimated run time in seconds
	Need      resource.Amount // resources of the task
	Found     bool            // the worker reported the attempt; otherwise its owner placed it
	Age       time.Duration   // time since the attempt was queued or first reported
	Ran       time.Duration   // time since it was first seen to run; negative: not seen to run
	Level     resource.Level
	Guessed   bool              // Level is a guess
	Together  bool              // the task is part of a gang, other tasks of which wait for it
	From      protocol.NodeName // the owner that placed the attempt, if any
	// Configuration is the revision of the configuration by which the owner placed it.
	Configuration record.ConfigurationRevision
	Sent          bool // its start was sent to the worker
	// Direct is the latest fencing token of a direct start, which the worker may
	// execute until it sees a later token; 0: none.
	Direct  protocol.Term
	Present bool               // the worker has listed the attempt; State, Cause and Saved are as it reported
	State   protocol.TaskState // state on the worker
	Cause   protocol.EndCause  // why it ended
	Saved   bool               // a checkpoint was saved
	Kill    bool               // the attempt is to be killed, with a grace period of GraceS
	GraceS  float64            // seconds
	Reap    bool               // the owner has processed the end: the worker may forget the attempt
	Noticed bool               // the owner was notified of the machine's termination notice
}
