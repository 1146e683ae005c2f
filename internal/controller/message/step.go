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
	// RecordChanged is one change of a followed record.
	RecordChanged struct{ Event protocol.Event }
	// LeaseExtended says until when this controller may act.
	LeaseExtended struct{ Until clock.Time }
	// SessionEnded says that the session is over.
	SessionEnded struct{}
	// CatalogueRead brings the machine types.
	CatalogueRead struct{ Types []protocol.TypeInfo }
	// HeartbeatReceived is a worker's report; ReplyHeartbeat answers it.
	HeartbeatReceived struct{ Heartbeat protocol.Heartbeat }
	// BatchReceived is a peer's batch; ReplyBatch answers it.
	BatchReceived struct{ Batch Batch }
	// JobCancelled says that a job is cancelled, which may not have been followed yet: no
	// task of it may be started from now on.
	JobCancelled struct{ Job protocol.JobID }
	// Tick lets time pass.
	Tick struct {
		WallMS int64 // the time of day; 0: as last told
	}
	// Shutdown says that the process is to end: what it keeps is handed over first.
	Shutdown struct{}
	// StoreRateUsed says what was asked of the state service in the last second,
	// within this controller's share or not.
	StoreRateUsed struct{ Amount ratelimit.Amount }
	// CommitDone answers a Commit.
	CommitDone struct {
		Tag     any
		Outcome Outcome
		// Revision is the service's after a transaction that was done: the version of
		// all that it wrote.
		Revision protocol.Revision
	}
	// BitmapLoaded answers a LoadBitmap.
	BitmapLoaded struct {
		Job    protocol.JobID
		Chunks []protocol.Item
		OK     bool
	}
	// CommandDone answers a Command.
	CommandDone struct {
		Machine    protocol.MachineID
		Term       protocol.Term
		AgentEpoch protocol.AgentEpoch
		Orders     []protocol.Order
		Answered   bool
		Executed   bool
		Heartbeat  protocol.Heartbeat // if answered
	}
	// PeerLeads says that a peer acts by a view without this controller.
	PeerLeads struct{ Peer protocol.NodeName }
	// ProvisionDone answers a Rent.
	ProvisionDone struct {
		Request  protocol.ProvisionRequest
		Machines []protocol.MachineID
		Outcome  Outcome
	}
	// TerminateDone answers a Delete.
	TerminateDone struct {
		Machines []protocol.MachineID
		OK       bool
	}
	// MachinesListed answers a ListMachines.
	MachinesListed struct {
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
	// ReplyHeartbeat answers the report just handled.
	ReplyHeartbeat struct {
		Status int
		Reply  protocol.HeartbeatReply
		Leader protocol.NodeName
	}
	// ReplyBatch answers the batch just handled.
	ReplyBatch struct{ Reply BatchReply }
	// Send passes a message to a peer's session, in order, until it is taken.
	Send struct {
		To          protocol.NodeName
		From        protocol.LeaseID // the sender's session
		Session     protocol.LeaseID // the addressee's
		Term        protocol.Term
		ShardsEpoch protocol.Term // the epoch of the record of shares
		Message     PeerMessage
	}
	// Commit executes a transaction.
	Commit struct {
		Tag any
		Txn protocol.Transaction
	}
	// LoadBitmap reads the bitmap of a job.
	LoadBitmap struct{ Job protocol.JobID }
	// Command sends commands straight to a worker.
	Command struct {
		Machine  protocol.MachineID
		Address  string
		Commands protocol.Commands
	}
	// Provision asks the cloud for machines.
	Provision struct{ Request protocol.ProvisionRequest }
	// Terminate returns machines to the cloud.
	Terminate struct{ Machines []protocol.MachineID }
	// SetAllotment sets what may be used of the state service's rates: All until a
	// time, from then on only Own.
	SetRateAllotment struct {
		Own, All ratelimit.Amount
		Until    clock.Time
	}
	// ConfigurationChanged tells that another configuration is in force.
	ConfigurationChanged struct{ Effective *dynamicconfig.Effective }
	// ListMachines reads the cloud's list.
	ListMachines struct{}
)
