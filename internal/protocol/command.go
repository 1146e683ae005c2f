package protocol

// Op is the operation of a command to a worker.
type Op string

// The operations of commands.
const (
	OpStart  Op = "start"
	OpStop   Op = "kill"
	OpForget Op = "reap" // the state of an ended task, which was received
)

// Order is one command to a worker.
type Order struct {
	Op      Op       `cbor:"order"`
	Task    TaskID   `cbor:"haul"`
	Attempt Attempt  `cbor:"launch"`
	GraceS  *float64 `cbor:"slack_s,omitempty"`
}

// HeartbeatReply is the response to a heartbeat.
type HeartbeatReply struct {
	Term   Term    `cbor:"helm"`
	Orders []Order `cbor:"orders"`
}

// Commands is a request of a controller to a worker.
type Commands struct {
	Term       Term       `cbor:"helm"`
	AgentEpoch AgentEpoch `cbor:"watch"`
	Orders     []Order    `cbor:"orders"`
}

// Redirect is the response that sends a worker to the controller that leads its shard.
type Redirect struct {
	Leader NodeName `cbor:"harbormaster,omitempty"`
}

// ErrorBody is the response to a request that failed.
type ErrorBody struct {
	Error string `cbor:"error"`
}
