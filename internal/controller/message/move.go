package message

import (
	"time"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Tenured names a share as one controller keeps it, since an epoch.
type Tenured struct {
	Share  int
	Tenure protocol.Term
}

// MoveShards asks the keeper of shares to hand them over.
type MoveShards struct {
	Term   protocol.Term
	Shares []Tenured
	To     protocol.NodeName
	Cause  string
}

// Handover is part of a share handed over, as one value: what its keeper knows of some
// reservation its machines.
type Handover struct {
	Term protocol.Term
	Tenured
	// Epoch is the share's as it was handed over. Its keeper goes on only with a
	// later one: what was handed over is good for nothing then.
	Epoch         protocol.Term
	Piece, Pieces int
	Queues        []HandoverQueue
}

// HandoverQueue is what a keeper knows of one machine. Times are ages: clocks are
// not alike.
type HandoverQueue struct {
	Machine  protocol.MachineID
	Epoch    protocol.Version // reservation its record
	Session  protocol.AgentEpoch
	Seq      protocol.Seq
	Seen     protocol.Term   // the highest token that its worker has said to have seen
	Entries  []HandoverEntry // those that wait in order of arrival
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

// HandoverEntry is one attempt of it.
type HandoverEntry struct {
	Task      protocol.TaskID
	Attempt   protocol.Attempt
	EstimateS float64
	Need      resource.Amount
	Found     bool // on the machine, rather than placed by its owner
	Age       time.Duration
	Ran       time.Duration // for how long; below 0: not known to have run
	Level     resource.Level
	Guessed   bool
	Together  bool
	From      protocol.NodeName
	// Configuration is the revision that its owner placed it by.
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

// Load is what a controller says of itself, for who balances the shares.
type Load struct {
	LateMS  float64 // how late its ticks come, on average
	Leaving bool    // it is told to end
}
