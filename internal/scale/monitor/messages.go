package monitor

import (
	"time"

	"damsonkeel/internal/fake/server"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
)

// Service is the name of the monitor's RPC service.
const Service = "Monitor"

// Exchange is the message that a worker or user process sends to the monitor several times a
// second.
type Exchange struct {
	// Process is the name of the sending process.
	Process string
	// Number counts the exchanges of the process. An exchange whose reply was lost is repeated
	// with the same number, so that it takes effect only once.
	Number uint64
	// Executed is the number of the last directive that the process executed.
	Executed uint64
	Machines []rules.MachineEvent
	Users    []rules.UserEvent
	// Oldest is the earliest of the times at which the workers of this process had their last
	// answered heartbeat.
	Oldest time.Duration
	// Addresses holds the listings of the machines that have started since the last exchange.
	Addresses map[protocol.MachineID]server.MachineListing
}

// Directives is the reply to an exchange: the directives that a process has not executed yet,
// in the order of their execution.
type Directives struct {
	List []Directive
}

// DirectiveKind is the kind of a directive.
type DirectiveKind uint8

// The kinds of directives.
const (
	DirectStart        DirectiveKind = iota + 1 // start a machine
	DirectKill                                  // kill a machine
	DirectRestart                               // restart a machine's worker
	DirectGangComplete                          // run a gang whose tasks have all started
	DirectGangLost                              // end a running gang that lost a task
	DirectGangDone                              // complete a running gang after one of its tasks completed
)

// Directive is an instruction to a worker process. Each process has its own sequence of
// numbers, which starts at 1. The directives of a gang name its job and attempt, the others a
// machine.
type Directive struct {
	Number  uint64
	Kind    DirectiveKind
	Machine protocol.MachineID
	Type    protocol.TypeInfo
	Zone    protocol.Zone
	Spot    bool
	// After is the boot time of a started machine, or the downtime of a restarted worker.
	After   time.Duration
	Job     protocol.JobID
	Attempt protocol.Attempt
}

// DescribeRequest requests the descriptions of the jobs with these IDs.
type DescribeRequest struct{ Jobs []protocol.JobID }

// Descriptions holds descriptions of jobs.
type Descriptions struct {
	Jobs map[protocol.JobID]protocol.Job
}

// Empty is a reply without content.
type Empty struct{}
