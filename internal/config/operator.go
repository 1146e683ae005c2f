package config

import (
	"time"

	"damsonkeel/internal/protocol"
)

// Operator is the operators' own settings, an optional XML file. Every element has a
// default.
type Operator struct {
	// ReplicationInterval is how often completions and wait tables are replicated to peers.
	ReplicationInterval time.Duration
	// CopyWait is how long a restarted controller waits for a copy of the wait table.
	CopyWait time.Duration
	// DefaultEstimate is the estimated run time of jobs that give none.
	DefaultEstimate time.Duration
	// NodeLease is the time to live of a controller's lease; with 0 Fit chooses it.
	NodeLease time.Duration
	// IdleTimeout is how long a machine stays idle before it is terminated.
	IdleTimeout time.Duration
	// SingleRecords stores each machine in a record of its own, as versions before
	// record blocks do.
	SingleRecords bool
	// DisableShards disables shards of the machines, for versions before them.
	DisableShards bool
	// DisableDynamicConfig disables changes of the configuration while controllers run.
	DisableDynamicConfig bool
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
		ReplicationInterval: time.Second,
		CopyWait:            2 * time.Second,
		DefaultEstimate:     time.Minute,
		IdleTimeout:         time.Minute,
	}
}

// Configurable reports whether operators can change the configuration while controllers
// run.
func (op Operator) Configurable() bool { return op.OperatorKeys != "" && !op.DisableDynamicConfig }
