package server

import (
	"time"

	"damsonkeel/internal/protocol"
)

// Observer is notified of what can be seen at workers. Times are of the host's clock.
// Calls come one at a time, while the host is locked: they must not call it.
type Observer interface {
	// MachineUp and MachineLost are called when a machine comes up and when it ends.
	MachineUp(machine protocol.MachineID, info protocol.TypeInfo, zone protocol.Zone, spot bool, at time.Duration)
	MachineLost(machine protocol.MachineID, at time.Duration)
	// TaskStartAccepted is called when a task's start was taken; its image may have to be fetched.
	TaskStartAccepted(machine protocol.MachineID, task protocol.TaskID, attempt protocol.Attempt, at time.Duration)
	// TaskStarted and Off are called when a task comes onto its machine and leaves it.
	TaskStarted(machine protocol.MachineID, task protocol.TaskID, attempt protocol.Attempt, at time.Duration)
	TaskEnded(machine protocol.MachineID, task protocol.TaskID, attempt protocol.Attempt, cause protocol.EndCause, at time.Duration)
}

// JobSource knows the descriptions of jobs that users have uploaded.
type JobSource interface {
	// Describe reads descriptions; jobs that are not known are left out.
	Describe([]protocol.JobID) (map[protocol.JobID]protocol.Job, error)
}

// HostConfig says how workers run.
type HostConfig struct {
	// Controllers are the addresses at which workers find the controllers.
	Controllers map[protocol.NodeName]string
	// HeartbeatInterval is the time between heartbeats, Lease the workers' lease, GangWait how long
	// a task waits for its gang.
	HeartbeatInterval, LeaseTime, GangWait time.Duration
	// CachedImages has an image fetched once and as large as its job says; else every
	// fetch takes a second.
	CachedImages bool
	// RunTime is how long a task of a job runs.
	RunTime  func(protocol.Job, protocol.TaskID) time.Duration
	Jobs     JobSource
	Observer Observer
	Clock    func() time.Duration
	Results  map[protocol.TaskID]bool // of tasks that have completed
}
