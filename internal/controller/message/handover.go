package message

import (
	"time"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Tenured identifies a shard while it has one holder: Tenure is the epoch since which it
// has.
type Tenured struct {
	Share  int
	Tenure protocol.Term
}

// MoveShards asks the holder of shards to hand them over.
type MoveShards struct {
	Term   protocol.Term
	Shares []Tenured
	To     protocol.NodeName
	Cause  string
}

// Handover is a part of a shard that is handed over: what its holder knows of some of its
// machines.
type Handover struct {
	Term protocol.Term
	Tenured
	// Epoch is the shard's when it was handed over. If the old holder goes on with the
	// shard, it raises the epoch: what was handed over is void then.
	Epoch         protocol.Term
	Piece, Pieces int
	Queues        []HandoverQueue
}

// HandoverQueue is what a dispatcher knows of one machine. Times are sent as ages, since
// the clocks of controllers differ.
type HandoverQueue struct {
	Machine  protocol.MachineID
	Epoch    protocol.Version // of its record
	Session  protocol.AgentEpoch
	Seq      protocol.Seq
	Seen     protocol.Term   // the highest fencing token that its worker has reported
	Entries  []HandoverEntry // those that wait are in order of arrival
	Known    bool
	Sole     bool
	Everseen bool
	NoticeS  *float64
	Draining bool
	Suspect  bool
	Failed   []protocol.JobID
	Images   []string
	Idle     time.Duration
}

// HandoverEntry is one attempt in a HandoverQueue.
type HandoverEntry struct {
	Task      protocol.TaskID
	Attempt   protocol.Attempt
	EstimateS float64
	Need      resource.Amount
	Found     bool // reported by the worker, rather than placed by its owner
	Age       time.Duration
	Ran       time.Duration // for how long; negative: it is not known to have run
	Level     resource.Level
	Guessed   bool
	Together  bool
	From      protocol.NodeName
	// Configuration is the revision by which its owner placed it.
	Configuration record.ConfigurationRevision
	Sent          bool
	Direct        protocol.Term
	Present       bool
	State         protocol.TaskState
	Cause         protocol.EndCause
	Saved         bool
	Kill          bool
	GraceS        float64
	Reap          bool
	Noticed       bool
}
