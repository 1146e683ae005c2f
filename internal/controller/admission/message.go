package admission

import (
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// RequestID numbers the requests that one process receives.
type RequestID uint64

// QueryID numbers the queries to the core.
type QueryID uint64

// Operation is what a user asks for.
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
		Forwarded bool           // forwarded by a peer: not to be forwarded again
		WallMS    int64          // the time of day, in milliseconds of the Unix epoch
	}
	// Read answers a Get.
	Read struct {
		ID      RequestID
		Outcome message.Outcome // failed: there is no such record
		Record  record.JobRecord
		Version protocol.Version
	}
	// Written answers a Write.
	Written struct {
		ID      RequestID
		Outcome message.Outcome
	}
	// OwnersAnswered answers a QueryOwners.
	OwnersAnswered struct {
		Query   QueryID
		Jobs    map[protocol.JobID]LiveJob // those asked for that are live, as followed
		Leading []protocol.NodeName        // peers known to hold their lease
		// Members are the controllers of the view, as followed; empty: none is known.
		Members []protocol.NodeName
	}
	// Compared answers a Compare: done if nothing differs, failed if something does.
	Compared struct {
		Query     QueryID
		Outcome   message.Outcome
		Differing []string // keys that are named as different
	}
	// Forwarded answers a Forward; status 0: the peer did not answer.
	Forwarded struct {
		ID     RequestID
		Answer Answer
	}
	// Announced acknowledges an Announce.
	Announced struct {
		Job protocol.JobID
		By  protocol.NodeName
	}
	// Configured brings the configuration in force, as followed.
	Configured struct{ Effective *dynamicconfig.Effective }
	// TypesRead brings the machine types of the catalogue.
	TypesRead struct{ Types []protocol.TypeInfo }
	// Tick lets time pass.
	Tick struct{}
)

// LiveJob is a live job as this controller's core knows it.
type LiveJob struct {
	Version  protocol.Version
	Progress message.Progress
}

// Answer is the response to a user's request.
type Answer struct {
	Status      int
	Body        []byte
	RetryAfterS int
}

// Action is something that the caller of the step function is to execute.
type Action any

// The actions. Each but Reply and Wake is answered by one message, at some time or
// never: a request that waits longer than its budget is answered without.
type (
	// Reply answers a request.
	Reply struct {
		ID     RequestID
		Answer Answer
	}
	// Get reads a job's record.
	Get struct {
		ID  RequestID
		Job protocol.JobID
	}
	// Write executes a transaction.
	Write struct {
		ID          RequestID
		Transaction protocol.Transaction
	}
	// QueryOwners asks this controller's core what it knows of jobs, which peers lead,
	// and which controllers are members.
	QueryOwners struct {
		Query QueryID
		Jobs  []protocol.JobID
	}
	// Compare is a transaction that only compares.
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
	// Announce tells a controller, this one or a peer, that a job is cancelled: it
	// starts no task of it any more, though it may not have followed that yet.
	Announce struct {
		Job protocol.JobID
		To  protocol.NodeName
	}
	// Wake asks for a Tick at a time.
	Wake struct{ At clock.Time }
)
