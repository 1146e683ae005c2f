package process

import (
	"time"

	"damsonkeel/internal/fake/server"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/analysis"
	"damsonkeel/internal/scale/forwarder"
	"damsonkeel/internal/scale/metrics"
	"damsonkeel/internal/scale/rules"
	"damsonkeel/internal/scale/siteconfig"
)

// Config is the first line of input of a process: its role and the configuration of the role.
type Config struct {
	Role    string
	Name    string
	Site    siteconfig.Site
	Seed    uint64
	Monitor string // address of the monitor
	// Controllers holds the addresses at which workers or users reach the controllers.
	Controllers map[protocol.NodeName]string
	// Links are the links of a forwarder.
	Links []forwarder.Link
	// Begin is the monotonic time at which the run of the site begins; the times in the site
	// are relative to it.
	Begin time.Duration
}

// Ready is the first line of output of a process.
type Ready struct {
	// Addresses holds the addresses that the process serves: of the services by target, of a
	// forwarder by the name of the link.
	Addresses map[string]string
}

// Command is a further line of input of a process.
type Command struct {
	// Partitioned replaces the list of partitioned regions of a forwarder.
	Partitioned []int `json:",omitempty"`
	// Fault is an injected fault, which the process of the monitor measures and, if it
	// concerns machines, injects.
	Fault *siteconfig.Fault `json:",omitempty"`
	// LimitChanges are the changes that the operator made to limits, for the process of the
	// monitor.
	LimitChanges []rules.LimitChange `json:",omitempty"`
	// Finish requests the report of the process, which ends afterwards.
	Finish bool `json:",omitempty"`
}

// Report is the last line of output of a process. Traffic holds the counted messages and bytes by
// kind, and Goroutines the number of goroutines at the end of the run.
type Report struct {
	Name       string
	Traffic    map[string]server.Flow
	Goroutines int
	Lateness   metrics.Lateness
	Users      *metrics.UserMetrics // only from the process of the users
	Analysis   *analysis.Metrics    // only from the process of the monitor
	Copies     server.CopyCounts    // only from processes of workers
}
