package server

import (
	"time"

	"damsonkeel/internal/protocol"
)

// Observer is notified of events on workers, with their time by the host's clock. The
// host makes one call at a time while it is locked, so that implementations must not call
// the host.
type Observer interface {
	// MachineUp is called when a machine is put into service, MachineLost when it stops.
	MachineUp(machine protocol.MachineID, info protocol.TypeInfo, zone protocol.Zone, spot bool, at time.Duration)
	MachineLost(machine protocol.MachineID, at time.Duration)
	// TaskStartAccepted is called when a worker has accepted the start of a task. Its image
	// may still have to be fetched.
	TaskStartAccepted(machine protocol.MachineID, task protocol.TaskID, attempt protocol.Attempt, at time.Duration)
	// TaskStarted is called when a task starts to occupy its machine, TaskEnded when it
	// ends.
	TaskStarted(machine protocol.MachineID, task protocol.TaskID, attempt protocol.Attempt, at time.Duration)
	TaskEnded(machine protocol.MachineID, task protocol.TaskID, attempt protocol.Attempt, cause protocol.EndCause, at time.Duration)
}

// JobSource provides the descriptions of the jobs that users have submitted.
type JobSource interface {
	// Describe returns the descriptions of jobs by id. The result omits unknown jobs.
	Describe([]protocol.JobID) (map[protocol.JobID]protocol.Job, error)
}

// HostConfig configures the workers of a Host.
type HostConfig struct {
	// Controllers maps the names of the controllers to their addresses.
	Controllers map[protocol.NodeName]string
	// HeartbeatInterval is the time between heartbeats, LeaseTime the duration of a
	// worker's lease, and GangWait how long a task waits for the other tasks of its gang.
	HeartbeatInterval, LeaseTime, GangWait time.Duration
	// CachedImages makes workers fetch each image once, in a time that depends on the size
	// of the image. Otherwise they fetch it for every task, in one second.
	CachedImages bool
	// RunTime returns how long a task of a job runs.
	RunTime  func(protocol.Job, protocol.TaskID) time.Duration
	Jobs     JobSource
	Observer Observer
	Clock    func() time.Duration     // returns the time of a monotonic clock
	Results  map[protocol.TaskID]bool // tasks that have completed, which the host adds to
}
