package message

import (
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/ratelimit"
	"damsonkeel/internal/protocol"
)

// Action is something that a step asks for.
type Action any

// The actions that a step asks for.
type (
	// ReplyHeartbeat answers the heartbeat just handled.
	ReplyHeartbeat struct {
		Status int
		Reply  protocol.HeartbeatReply
		Leader protocol.NodeName
	}
	// ReplyBatch answers the batch just handled.
	ReplyBatch struct{ Reply BatchReply }
	// Send sends a message to a peer's session, in order, and retries until it is accepted.
	Send struct {
		To          protocol.NodeName
		From        protocol.LeaseID // the sender's session
		Session     protocol.LeaseID // the addressee's
		Term        protocol.Term
		ShardsEpoch protocol.Term // epoch of the shard table
		Message     PeerMessage
	}
	// Commit executes a transaction.
	Commit struct {
		Tag         any
		Transaction protocol.Transaction
	}
	// LoadBitmap reads the bitmap of a job.
	LoadBitmap struct{ Job protocol.JobID }
	// Command sends commands directly to a worker.
	Command struct {
		Machine  protocol.MachineID
		Address  string
		Commands protocol.Commands
	}
	// Provision requests machines from the cloud.
	Provision struct{ Request protocol.ProvisionRequest }
	// Terminate terminates machines of the cloud.
	Terminate struct{ Machines []protocol.MachineID }
	// SetRateAllotment sets what may be used of the key-value store's rates: All until a
	// time, and Own from then on.
	SetRateAllotment struct {
		Own, All ratelimit.Amount
		Until    clock.Time
	}
	// ConfigurationChanged notifies the node that another configuration is in force.
	ConfigurationChanged struct{ Effective *dynamicconfig.Effective }
	// ListMachines reads the cloud's list of machines.
	ListMachines struct{}
)
