package protocol

// Op is the operation of a command to a worker.
type Op string

// Operations of commands.
const (
	OpStart  Op = "start" // the worker fetches the task's image and starts the attempt
	OpStop   Op = "kill"  // the worker ends the attempt
	OpForget Op = "reap"  // the worker may drop the state of an ended task: the controller has received it
)

// Order is one command to a worker, for one attempt of a task. GraceS is the grace period of
// OpStop, in seconds, in which the task may save a checkpoint.
type Order struct {
	Op      Op       `cbor:"order"`
	Task    TaskID   `cbor:"haul"`
	Attempt Attempt  `cbor:"launch"`
	GraceS  *float64 `cbor:"slack_s,omitempty"`
}

// HeartbeatReply is the response to an accepted heartbeat: the commands that the worker is to
// execute, with their fencing token (Term).
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

// Redirect is the response to a heartbeat that was sent to a controller that does not hold the
// worker's shard. Leader is the name of the controller that holds it, to which the worker has
// to send its heartbeats; it is empty if that is unknown.
type Redirect struct {
	Leader NodeName `cbor:"harbormaster,omitempty"`
}

// ErrorBody is the response body of a failed request.
type ErrorBody struct {
	Error string `cbor:"error"`
}
