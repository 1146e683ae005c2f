package scale

import (
	"time"

	"damsonkeel/internal/fake/server"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
)

// hubService is the name of the hub among the processes of a run.
const hubService = "Hub"

// Exchange is what a process of workers or users tells the hub, several times a
// second.
type Exchange struct {
	Process string
	// Number counts the process's exchanges: one whose answer was lost is repeated with
	// its number, and counts once.
	Number uint64
	// Carried is the number of the last directive that was carried out.
	Carried  uint64
	Machines []rules.MachineEvent
	Users    []rules.UserEvent
	// Oldest is the time since which each worker here has had an answered report.
	Oldest time.Duration
	// Addresses are those of machines that have come up since the last exchange.
	Addresses map[protocol.MachineID]server.Listed
}

// Directives is what the hub has a process do, in order.
type Directives struct {
	List []Directive
}

// DirectiveKind is what a process of workers is to do.
type DirectiveKind uint8

// The kinds of directives.
const (
	DirectUp DirectiveKind = iota + 1
	DirectKill
	DirectRestart
	DirectGangComplete
	DirectGangLost
	DirectGangDone
)

// Directive is one thing to do. Numbers count from 1 for each process.
type Directive struct {
	Number  uint64
	Kind    DirectiveKind
	Machine protocol.MachineID
	Type    protocol.TypeInfo
	Zone    protocol.Zone
	Spot    bool
	After   time.Duration // of one that comes up: how long it boots; of a restart: how long it is away
	Job     protocol.JobID
	Attempt protocol.Attempt
}

// JobsAsked names jobs of which a worker needs the description.
type JobsAsked struct{ Jobs []protocol.JobID }

// JobsKnown are the descriptions that were uploaded.
type JobsKnown struct {
	Jobs map[protocol.JobID]protocol.Job
}

// None is an answer without content.
type None struct{}

// RoleConfig is what a process of a run is told on its first line of input.
type RoleConfig struct {
	Role string
	Name string
	Site Site
	Seed uint64
	Hub  string // the hub's address
	// Controllers are the addresses at which workers or users reach the controllers.
	Controllers map[protocol.NodeName]string
	// Links are those of a forwarder.
	Links []Link
	// Begin is when the site's time begins, by the machine's steady clock.
	Begin time.Duration
}

// RoleReady is the first line that a process answers with.
type RoleReady struct {
	// Addresses are what it serves, by name.
	Addresses map[string]string
}

// RoleCommand is a later line of input.
type RoleCommand struct {
	// Apart are the regions that are cut off from now on; for forwarders.
	Apart []int `json:",omitempty"`
	// Trouble is something that happens to machines; for the hub's process.
	Trouble *Trouble `json:",omitempty"`
	// Limits are the changes of limits that were made; for the hub's process.
	Limits []rules.LimitChange `json:",omitempty"`
	// Finish ends the process after its report.
	Finish bool `json:",omitempty"`
}

// RoleReport is the last line that a process writes.
type RoleReport struct {
	Name       string
	Traffic    map[string]server.Flow
	Goroutines int
	Lateness   Lateness
	Users      *UserFigures
	Hub        *HubFigures
}
