package config

import (
	"time"

	"damsonkeel/internal/protocol"
)

// Operator has the operators' own settings, from an optional XML file. Every element has a
// default.
type Operator struct {
	// ReplicationInterval is how often a controller sends to all peers what changed in the
	// states of its machines, from which they update their wait tables, and in the progress
	// of its jobs (tasks that completed or run). It is also the interval of periodic work.
	ReplicationInterval time.Duration
	// CopyWait is how long a restarted controller waits for a copy of the wait table from the
	// peers that it requested one from, before it requests one from further peers.
	CopyWait time.Duration
	// DefaultEstimate is the estimated run time of jobs that are submitted without one.
	DefaultEstimate time.Duration
	// NodeLease is the time to live of a controller's lease; if it is 0, Fit chooses it.
	NodeLease time.Duration
	// IdleTimeout is how long a machine stays idle before it is terminated.
	IdleTimeout time.Duration
	// SingleRecords stores each machine in a record of its own, as versions before the
	// introduction of record blocks do.
	SingleRecords bool
	// DisableShards disables the division of machines into shards, for compatibility with
	// versions before shards.
	DisableShards bool
	// DisableDynamicConfig disables changes of the configuration while controllers run.
	DisableDynamicConfig bool
	// OperatorKeys is the path of the file with the operators' keys. If it is empty, no
	// operator's request is accepted.
	OperatorKeys string
	// Machines is the largest number of machines of each type that reservations and
	// guarantees may count on. For reservations, types that are not listed have no limit.
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

// Configurable reports whether operators can change the configuration while controllers run:
// whether there is a file of operators' keys and such changes are not disabled.
func (op Operator) Configurable() bool { return op.OperatorKeys != "" && !op.DisableDynamicConfig }
