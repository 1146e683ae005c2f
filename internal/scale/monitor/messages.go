package monitor

import (
	"time"

	"damsonkeel/internal/fake/server"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
)

// Service is the name of the monitor's RPC service.
const Service = "Monitor"

// Exchange is what a process of workers or users sends to the monitor, several times a
// second.
type Exchange struct {
	Process string
	// Number counts the process's exchanges. One whose answer was lost is repeated with
	// its number and takes effect once.
	Number uint64
	// Executed is the number of the last directive that was executed.
	Executed uint64
	Machines []rules.MachineEvent
	Users    []rules.UserEvent
	// Oldest is the time since which each worker here has had an answered heartbeat.
	Oldest time.Duration
	// Addresses are those of machines that have come up since the last exchange.
	Addresses map[protocol.MachineID]server.MachineListing
}

// Directives are what a process is to do, in order.
type Directives struct {
	List []Directive
}

// DirectiveKind is what a process of workers is to do.
type DirectiveKind uint8

// The kinds of directives.
const (
	DirectStart        DirectiveKind = iota + 1 // start a machine
	DirectKill                                  // kill a machine
	DirectRestart                               // restart a machine's worker
	DirectGangComplete                          // all tasks of a gang have started
	DirectGangLost                              // a task of a running gang was lost
	DirectGangDone                              // a task of a running gang has completed
)

// Directive is one thing to do. Numbers count from 1 for each process.
type Directive struct {
	Number  uint64
	Kind    DirectiveKind
	Machine protocol.MachineID
	Type    protocol.TypeInfo
	Zone    protocol.Zone
	Spot    bool
	// After is how long a started machine boots, or a restarted worker is down.
	After   time.Duration
	Job     protocol.JobID
	Attempt protocol.Attempt
}

// DescribeRequest names jobs of which a worker needs the description.
type DescribeRequest struct{ Jobs []protocol.JobID }

// Descriptions are descriptions of jobs.
type Descriptions struct {
	Jobs map[protocol.JobID]protocol.Job
}

// Empty is an answer without content.
type Empty struct{}
