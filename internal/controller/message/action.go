package message

import (
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/ratelimit"
	"damsonkeel/internal/protocol"
)

// Action is a request of the core's step function to its caller.
type Action any

// The actions that a step may return.
type (
	// ReplyHeartbeat answers the heartbeat that the step handled.
	ReplyHeartbeat struct {
		Status int // the HTTP status; any but 200 renews no lease
		Reply  protocol.HeartbeatReply
		Leader protocol.NodeName // the controller to which a redirect (status 421) refers the worker
	}
	// ReplyBatch answers the batch that the step handled.
	ReplyBatch struct{ Reply BatchReply }
	// Send sends a message to a peer's session. Messages are delivered in order, and each is
	// retried until the peer accepts it or one of the sessions has ended.
	Send struct {
		To          protocol.NodeName // the receiver
		From        protocol.LeaseID  // the session of the sender
		Session     protocol.LeaseID  // the session of the receiver
		Term        protocol.Term     // of the sender's view
		ShardsEpoch protocol.Term     // epoch of the shard table
		Message     PeerMessage
	}
	// Commit executes a transaction on the key-value store. CommitDone answers it.
	Commit struct {
		Tag         any // identifies the transaction in its CommitDone
		Transaction protocol.Transaction
	}
	// LoadBitmap reads the bitmap of a job's finished tasks from the key-value store.
	// BitmapLoaded answers it.
	LoadBitmap struct {
		Job  protocol.JobID
		Term protocol.Term // in which it is requested
	}
	// Command sends commands directly to a worker, without waiting for its next heartbeat.
	// CommandDone answers it.
	Command struct {
		Number   uint64 // identifies the message of commands in its session
		Machine  protocol.MachineID
		Address  string
		Commands protocol.Commands
	}
	// Provision requests machines from the cloud. ProvisionDone answers it.
	Provision struct{ Request protocol.ProvisionRequest }
	// Terminate terminates machines of the cloud. TerminateDone answers it.
	Terminate struct{ Machines []protocol.MachineID }
	// SetRateAllotment sets the rates of requests and writes per second at which this
	// controller may use the key-value store: All, which includes the grants of peers,
	// until the time Until, and Own from then on.
	SetRateAllotment struct {
		Own, All ratelimit.Amount
		Until    clock.Time
	}
	// ConfigurationChanged notifies the node that the configuration in force has changed.
	ConfigurationChanged struct{ Effective *dynamicconfig.Effective }
	// ListMachines reads the cloud's list of machines. MachinesListed answers it.
	ListMachines struct{}
)

// Done returns the result of a command without an answer: whether it was executed is unknown.
func (c *Command) Done() CommandDone {
	return CommandDone{Number: c.Number, Machine: c.Machine, Term: c.Commands.Term, AgentEpoch: c.Commands.AgentEpoch, Orders: c.Commands.Orders}
}
