package config

import (
	"time"

	"damsonkeel/internal/protocol"
)

// Operator is the operators' own settings, an optional XML file. Every element has a
// default.
type Operator struct {
	// RelayEvery is how often completions and wait tables are replicated to peers.
	RelayEvery time.Duration
	// CopyWait is how long a restarted controller waits for a copy of the wait table.
	CopyWait time.Duration
	// DefaultEstimate is the estimated run time of jobs that give none.
	DefaultEstimate time.Duration
	// NodeLease is the time to live of a controller's lease; with 0 Fit chooses it.
	NodeLease time.Duration
	// IdleReturn is how long a machine stays idle before it is terminated.
	IdleReturn time.Duration
	// SingleRecords stores each machine in a record of its own, as versions before
	// record blocks do.
	SingleRecords bool
	// NoShares disables shards of the machines, for versions before them.
	NoShares bool
	// FixedConfiguration disables changes of the configuration while controllers run.
	FixedConfiguration bool
	// OperatorKeys is the file with the keys of operators; without one no operator's
	// request is accepted.
	OperatorKeys string
	// Machines is the largest number of machines of a type that promises may count on;
	// types that are not listed have no limit.
	Machines map[protocol.MachineType]int
}

// DefaultOperator returns the default settings.
func DefaultOperator() Operator {
	return Operator{
		RelayEvery:      time.Second,
		CopyWait:        2 * time.Second,
		DefaultEstimate: time.Minute,
		IdleReturn:      time.Minute,
	}
}

// Configurable reports whether operators can change the configuration while controllers
// run.
func (op Operator) Configurable() bool { return op.OperatorKeys != "" && !op.FixedConfiguration }
