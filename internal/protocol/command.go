package protocol

// Op is the operation of a command to a worker.
type Op string

// Operations of commands.
const (
	OpStart  Op = "start"
	OpStop   Op = "kill"
	OpForget Op = "reap" // the worker may drop the state of an ended task: the controller has received it
)

// Order is one command to a worker. GraceS is the grace period of OpStop, in seconds.
type Order struct {
	Op      Op       `cbor:"order"`
	Task    TaskID   `cbor:"haul"`
	Attempt Attempt  `cbor:"launch"`
	GraceS  *float64 `cbor:"slack_s,omitempty"`
}

// HeartbeatReply is the response to an accepted heartbeat.
type HeartbeatReply struct {
	Term   Term    `cbor:"helm"`
	Orders []Order `cbor:"orders"`
}

// Commands is a request that a controller sends directly to a worker. AgentEpoch is the
// incarnation of the agent that the commands are meant for.
type Commands struct {
	Term       Term       `cbor:"helm"`
	AgentEpoch AgentEpoch `cbor:"watch"`
	Orders     []Order    `cbor:"orders"`
}

// Redirect is the response to a heartbeat that was sent to the wrong controller. Leader is
// the controller that holds the worker's shard.
type Redirect struct {
	Leader NodeName `cbor:"harbormaster,omitempty"`
}

// ErrorBody is the response body of a failed request.
type ErrorBody struct {
	Error string `cbor:"error"`
}
