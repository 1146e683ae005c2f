package message

import (
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/ratelimit"
	"damsonkeel/internal/protocol"
)

// The messages to the step function of a controller's core.
type (
	// Snapshot starts a session with all watched records.
	Snapshot struct {
		Session protocol.LeaseID
		Items   []protocol.Item // the watched records
		// Revision is that of the records: the items contain all changes up to it.
		Revision protocol.Revision
		WallMS   int64 // the time of day, in milliseconds of the Unix epoch
	}
	// InSession carries a message that belongs to a session of this controller. It has no
	// effect once that session has ended: the message may describe records as they were
	// before the snapshot of a later session, or complete a request whose state was dropped.
	InSession struct {
		Session protocol.LeaseID
		Message SessionMessage
	}
	// CatalogueRead carries the machine types of the catalogue.
	CatalogueRead struct{ Types []protocol.TypeInfo }
	// HeartbeatReceived is a worker's heartbeat; ReplyHeartbeat answers it.
	HeartbeatReceived struct{ Heartbeat protocol.Heartbeat }
	// BatchReceived is a peer's batch; ReplyBatch answers it.
	BatchReceived struct{ Batch Batch }
	// JobCancelled reports that a job is cancelled, possibly before the core observes the
	// change of its record. No task of the job may be started from now on.
	JobCancelled struct{ Job protocol.JobID }
	// Tick triggers the work that is due by the clock.
	Tick struct {
		WallMS int64 // the time of day, in milliseconds of the Unix epoch; 0: unknown
	}
	// Shutdown requests the end of the process, which first hands over its shards.
	Shutdown struct{}
	// StoreRateUsed reports the numbers of requests and writes to the key-value store that
	// were attempted in the last second, including those beyond this controller's
	// allotment.
	StoreRateUsed struct{ Amount ratelimit.Amount }
	// PeerLeads reports that a peer holds its lease in a view without this controller.
	PeerLeads struct{ Peer protocol.NodeName }
)

// SessionMessage is a message that is valid in one session only. It reaches the core in an
// InSession.
type SessionMessage interface{ belongsToSession() }

// The messages that are valid in one session.
type (
	// RecordChanged is one change of a watched record of the key-value store.
	RecordChanged struct{ Event protocol.Event }
	// LeaseExtended reports until when this controller's lease of the key-value store
	// lasts, by its own clock.
	LeaseExtended struct{ Until clock.Time }
	// SessionEnded reports that this controller's session with the key-value store has
	// ended.
	SessionEnded struct{}
	// CommitDone answers a Commit.
	CommitDone struct {
		Tag     any // of the Commit
		Outcome Outcome
		// Revision is the store's revision after an executed transaction, which is the
		// version of every record that the transaction wrote.
		Revision protocol.Revision
	}
	// BitmapLoaded answers a LoadBitmap.
	BitmapLoaded struct {
		Job    protocol.JobID
		Term   protocol.Term // of the LoadBitmap
		Chunks []protocol.Item
		OK     bool // the bitmap was read; otherwise Chunks is not valid
	}
	// CommandDone answers a Command.
	CommandDone struct {
		Number     uint64 // of the Command
		Machine    protocol.MachineID
		Term       protocol.Term
		AgentEpoch protocol.AgentEpoch
		Orders     []protocol.Order
		Answered   bool               // the worker answered; otherwise the outcome is unknown
		Executed   bool               // the worker accepted the orders; if false in an answer, it refused them
		Heartbeat  protocol.Heartbeat // if answered
		Withheld   bool               // the orders were not sent: see Core.MaySend
	}
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

func (RecordChanged) belongsToSession()  {}
func (LeaseExtended) belongsToSession()  {}
func (SessionEnded) belongsToSession()   {}
func (CommitDone) belongsToSession()     {}
func (BitmapLoaded) belongsToSession()   {}
func (CommandDone) belongsToSession()    {}
func (ProvisionDone) belongsToSession()  {}
func (TerminateDone) belongsToSession()  {}
func (MachinesListed) belongsToSession() {}

// Outcome is the outcome of a request to the key-value store or the cloud, as far as it is
// known.
type Outcome uint8

// The outcomes of requests.
const (
	OutcomeDone    Outcome = iota + 1 // executed
	OutcomeFailed                     // a condition does not hold, or there is no capacity
	OutcomeRefused                    // not executed
	OutcomeUnknown                    // may have been executed, or may still be executed
)
