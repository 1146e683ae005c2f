package message

import (
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/ratelimit"
	"damsonkeel/internal/protocol"
)

// The messages to the step function of a controller's core.
type (
	// Snapshot starts a session: all watched records.
	Snapshot struct {
		Session protocol.LeaseID
		Items   []protocol.Item
		WallMS  int64 // the time of day
	}
	// RecordChanged is one change of a watched record.
	RecordChanged struct{ Event protocol.Event }
	// LeaseExtended says until when this controller holds its lease.
	LeaseExtended struct{ Until clock.Time }
	// SessionEnded says that the session has ended.
	SessionEnded struct{}
	// CatalogueRead brings the machine types.
	CatalogueRead struct{ Types []protocol.TypeInfo }
	// HeartbeatReceived is a worker's heartbeat; ReplyHeartbeat answers it.
	HeartbeatReceived struct{ Heartbeat protocol.Heartbeat }
	// BatchReceived is a peer's batch; ReplyBatch answers it.
	BatchReceived struct{ Batch Batch }
	// JobCancelled says that a job is cancelled, which may not have been observed yet: no
	// task of it may be started from now on.
	JobCancelled struct{ Job protocol.JobID }
	// Tick lets time pass.
	Tick struct {
		WallMS int64 // the time of day; 0: not known
	}
	// Shutdown says that the process is to end: its shards are handed over first.
	Shutdown struct{}
	// StoreRateUsed says what was requested of the key-value store in the last second,
	// within this controller's allotment or not.
	StoreRateUsed struct{ Amount ratelimit.Amount }
	// CommitDone answers a Commit.
	CommitDone struct {
		Tag     any
		Outcome Outcome
		// Revision is the store's after a transaction that was executed: the version of
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
	// PeerLeads says that a peer holds its lease in a view without this controller.
	PeerLeads struct{ Peer protocol.NodeName }
	// ProvisionDone answers a Provision.
	ProvisionDone struct {
		Request  protocol.ProvisionRequest
		Machines []protocol.MachineID
		Outcome  Outcome
	}
	// TerminateDone answers a Terminate.
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

// Outcome is what is known of the execution of a request.
type Outcome uint8

// The outcomes of requests.
const (
	OutcomeDone    Outcome = iota + 1
	OutcomeFailed          // a condition does not hold, or there is no capacity
	OutcomeRefused         // not executed
	OutcomeUnknown         // may have been executed, or may still be
)
