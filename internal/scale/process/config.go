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

// Config is the first line of input of a process: what it is to do.
type Config struct {
	Role    string
	Name    string
	Site    siteconfig.Site
	Seed    uint64
	Monitor string // the monitor's address
	// Controllers are the addresses at which workers or users reach the controllers.
	Controllers map[protocol.NodeName]string
	// Links are those of a forwarder.
	Links []forwarder.Link
	// Begin is when the site's time begins, by the machine's monotonic clock.
	Begin time.Duration
}

// Ready is the first line of output of a process.
type Ready struct {
	// Addresses are those that the process serves, by name.
	Addresses map[string]string
}

// Command is a later line of input.
type Command struct {
	// Partitioned are the regions that are partitioned from now on; for forwarders.
	Partitioned []int `json:",omitempty"`
	// Fault is a fault to inject into machines; for the monitor's process.
	Fault *siteconfig.Fault `json:",omitempty"`
	// LimitChanges are the changes of limits that were made; for the monitor's process.
	LimitChanges []rules.LimitChange `json:",omitempty"`
	// Finish ends the process after its report.
	Finish bool `json:",omitempty"`
}

// Report is the last line of output of a process.
type Report struct {
	Name       string
	Traffic    map[string]server.Flow
	Goroutines int
	Lateness   metrics.Lateness
	Users      *metrics.UserMetrics // of the users' process
	Analysis   *analysis.Metrics    // of the monitor's process
}
