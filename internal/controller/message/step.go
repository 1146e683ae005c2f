package message

import (
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/ratelimit"
	"damsonkeel/internal/protocol"
)

// Messages to the core's step function.
type (
	// Snapshot starts a session: all followed records.
	Snapshot struct {
		Session protocol.LeaseID
		Items   []protocol.Item
		WallMS  int64 // the time of day
	}
	// Changed is one change of a followed record.
	Changed struct{ Event protocol.Event }
	// Entitled says until when this controller may act.
	Entitled struct{ Until clock.Time }
	// SessionOver says that the session is over.
	SessionOver struct{}
	// CatalogueRead brings the machine types.
	CatalogueRead struct{ Types []protocol.TypeInfo }
	// Reported is a worker's report; ReplyReport answers it.
	Reported struct{ Report protocol.Report }
	// Received is a peer's batch; ReplyBatch answers it.
	Received struct{ Batch Batch }
	// JobCancelled says that a job is cancelled, which may not have been followed yet: no
	// task of it may be started from now on.
	JobCancelled struct{ Job protocol.JobID }
	// Tick lets time pass.
	Tick struct {
		WallMS int64 // the time of day; 0: as last told
	}
	// Leave says that the process is to end: what it keeps is handed over first.
	Leave struct{}
	// StateAsked says what was asked of the state service in the last second,
	// within this controller's share or not.
	StateAsked struct{ Amount ratelimit.Amount }
	// TxnDone answers a Commit.
	TxnDone struct {
		Tag     any
		Outcome Outcome
		// Revision is the service's after a transaction that was done: the version of
		// all that it wrote.
		Revision protocol.Revision
	}
	// JobLoaded answers a LoadBits.
	JobLoaded struct {
		Job    protocol.JobID
		Chunks []protocol.Item
		OK     bool
	}
	// Commanded answers a Command.
	Commanded struct {
		Machine  protocol.MachineID
		Term     protocol.Term
		Session  protocol.Session
		Orders   []protocol.Order
		Answered bool
		Executed bool
		Report   protocol.Report // if answered
	}
	// PeerActs says that a peer acts by a view without this controller.
	PeerActs struct{ Peer protocol.NodeName }
	// Rented answers a Rent.
	Rented struct {
		Request  protocol.RentRequest
		Machines []protocol.MachineID
		Outcome  Outcome
	}
	// Deleted answers a Delete.
	Deleted struct {
		Machines []protocol.MachineID
		OK       bool
	}
	// Listed answers a ListMachines.
	Listed struct {
		Machines []protocol.ListedMachine
		OK       bool
	}
)

// Outcome is what is known of a request.
type Outcome uint8

// The outcomes of requests.
const (
	OutcomeDone    Outcome = iota + 1
	OutcomeFailed          // a condition does not hold, or no capacity
	OutcomeRefused         // not executed
	OutcomeUnknown         // may have been executed, or still be
)

// Action is something a step function asks for.
type Action any

// The actions.
type (
	// ReplyReport answers the report just handled.
	ReplyReport struct {
		Status   int
		Reply    protocol.ReportReply
		ReportTo protocol.NodeName
	}
	// ReplyBatch answers the batch just handled.
	ReplyBatch struct{ Reply BatchReply }
	// Send passes a message to a peer's session, in order, until it is taken.
	Send struct {
		To      protocol.NodeName
		From    protocol.LeaseID // the sender's session
		Session protocol.LeaseID // the addressee's
		Term    protocol.Term
		Shares  protocol.Term // the epoch of the record of shares
		Message PeerMessage
	}
	// Commit executes a transaction.
	Commit struct {
		Tag any
		Txn protocol.Txn
	}
	// LoadBits reads the bitmap of a job.
	LoadBits struct{ Job protocol.JobID }
	// Command sends commands straight to a worker.
	Command struct {
		Machine  protocol.MachineID
		Address  string
		Commands protocol.Commands
	}
	// Rent asks the cloud for machines.
	Rent struct{ Request protocol.RentRequest }
	// Delete returns machines to the cloud.
	Delete struct{ Machines []protocol.MachineID }
	// SetAllotment sets what may be used of the state service's rates: All until a
	// time, from then on only Own.
	SetShare struct {
		Own, All ratelimit.Amount
		Until    clock.Time
	}
	// Configured tells that another configuration is in force.
	Configured struct{ Effective *dynamicconfig.Effective }
	// ListMachines reads the cloud's list.
	ListMachines struct{}
)
