package admission

import (
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// RequestID identifies a request within the process that received it.
type RequestID uint64

// QueryID identifies a query to the core, or the comparison that follows from it.
type QueryID uint64

// Operation is the operation that a user requests.
type Operation uint8

// The operations.
const (
	Submit Operation = iota + 1
	Poll
	Cancel
)

// Messages to the step function.
type (
	// Request is a user's request.
	Request struct {
		ID        RequestID
		Operation Operation
		Job       protocol.JobID // of polls and cancellations
		Body      []byte         // of submissions
		Forwarded bool           // forwarded by a peer, and not to be forwarded again
		WallMS    int64          // the time of day, in milliseconds of the Unix epoch
	}
	// RecordRead answers a GetRecord.
	RecordRead struct {
		ID      RequestID
		Outcome message.Outcome // OutcomeDone: the record was read; OutcomeFailed: there is none
		Record  record.JobRecord
		Version protocol.Version
	}
	// Written answers a Write.
	Written struct {
		ID      RequestID
		Outcome message.Outcome
		// Revision is the store's revision after an executed transaction.
		Revision protocol.Revision
	}
	// CoreAnswered answers a QueryCore.
	CoreAnswered struct {
		Query   QueryID
		Jobs    map[protocol.JobID]LiveJob // the requested jobs that are live in the core's state
		Leading []protocol.NodeName        // peers that are known to hold their lease
		// Members lists the controllers in the core's latest view; empty: unknown.
		Members []protocol.NodeName
		// ObservedRevision is the revision up to which the core has observed all changes of
		// the records that it watches, those of the view among them; 0: it has no session.
		ObservedRevision protocol.Revision
		// Ended holds those of the requested jobs whose end the core has observed, and when.
		Ended map[protocol.JobID]clock.Time
	}
	// Compared answers a Compare.
	Compared struct {
		Query     QueryID
		Outcome   message.Outcome // OutcomeDone: all versions match; OutcomeFailed: some differ
		Differing []string        // keys that the store reported to differ, perhaps not all
	}
	// Forwarded answers a Forward. A status of 0 means that the peer did not answer.
	Forwarded struct {
		ID     RequestID
		Answer Answer
	}
	// AnnouncementAcknowledged acknowledges an Announce.
	AnnouncementAcknowledged struct {
		Job protocol.JobID
		By  protocol.NodeName
	}
	// ConfigurationChanged carries the configuration in force, as observed by the core.
	ConfigurationChanged struct{ Effective *dynamicconfig.Effective }
	// TypesRead carries the machine types of the catalogue.
	TypesRead struct{ Types []protocol.TypeInfo }
	// Tick triggers the work that is due by the clock.
	Tick struct{}
)

// LiveJob is the state of a live job in this controller's core: the version of its record
// that the core has observed, and its progress.
type LiveJob struct {
	Version  protocol.Version
	Progress message.Progress
}

// Answer is the response to a user's request.
type Answer struct {
	Status      int // the HTTP status; 0: no answer
	Body        []byte
	RetryAfterS int // seconds after which the user may retry; 0: not sent
}

// Action is a request to the caller of the step function.
type Action any

// The actions. Each except Reply and Wake is answered by one message, which may arrive at
// any time or never: a request whose budget is used up is answered without it.
type (
	// Reply answers a request.
	Reply struct {
		ID     RequestID
		Answer Answer
	}
	// GetRecord reads a job's record from the key-value store.
	GetRecord struct {
		ID  RequestID
		Job protocol.JobID
	}
	// Write executes a transaction on the key-value store.
	Write struct {
		ID          RequestID
		Transaction protocol.Transaction
	}
	// QueryCore asks this controller's core for the state of jobs, the peers that hold their
	// lease and the members.
	QueryCore struct {
		Query QueryID
		Jobs  []protocol.JobID
	}
	// Compare executes a transaction on the key-value store that has conditions and changes
	// nothing.
	Compare struct {
		Query      QueryID
		Conditions []protocol.Condition
	}
	// Forward forwards a submission to a peer.
	Forward struct {
		ID   RequestID
		To   protocol.NodeName
		Body []byte
	}
	// Announce notifies a controller, this one or a peer, that a job is cancelled. The
	// controller starts no more tasks of the job, even before it observes the cancellation
	// in the records.
	Announce struct {
		Job protocol.JobID
		To  protocol.NodeName
	}
	// Wake requests a Tick at the given time.
	Wake struct{ At clock.Time }
)
