package message

import (
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Placement places one attempt of a task on a machine.
type Placement struct {
	Task      protocol.TaskID
	Attempt   protocol.Attempt
	Machine   protocol.MachineID
	Epoch     protocol.Version // version of the machine's record that the owner has observed
	EstimateS float64          // estimated run time in seconds
	CPUs      float64
	GPUs      float64
	GB        float64
	// Tenure is the epoch at which the holder of the machine's shard took it over, as
	// observed by the owner.
	Tenure protocol.Term
	// Together: the task is part of a gang, other tasks of which wait for it.
	Together bool
	Level    int // the job's resource.Level
}

// Need returns the resources that the task uses.
func (p Placement) Need() resource.Amount {
	return resource.Amount{CPUs: p.CPUs, GPUs: p.GPUs, GB: p.GB}
}

// Place sends placements from the owner of jobs to the dispatcher of machines, which queues
// each of them or reports it as released.
type Place struct {
	Number uint64 // sequence number of the sender's Place messages
	Term   protocol.Term
	// Configuration is the revision of the configuration by which the owner placed the tasks.
	Configuration record.ConfigurationRevision
	Tasks         []Placement
}

// TaskRef identifies one attempt on one machine.
type TaskRef struct {
	Task    protocol.TaskID
	Attempt protocol.Attempt
	Machine protocol.MachineID
}

// Stop asks the dispatcher to end an attempt. An attempt that was never sent to its worker
// is released. An attempt that was sent is killed if Kill is set, and continues otherwise.
type Stop struct {
	TaskRef
	Kill   bool
	GraceS float64 // grace period before the kill, in seconds
}

// EventKind is the kind of a TaskEvent. Its numbers are sent to peers.
type EventKind uint8

// The kinds of events of attempts.
const (
	EventPresent  EventKind = iota + 1 // the worker has listed the attempt
	EventRunning                       // the attempt runs
	EventEnded                         // the attempt has ended
	EventReleased                      // the attempt was never executed and never will be: the owner may place it again
	EventNotice                        // the machine of the attempt is about to be reclaimed
)

// TaskEvent notifies an owner of an event of an attempt.
type TaskEvent struct {
	TaskRef
	What  EventKind
	Cause protocol.EndCause // for EventEnded: why the attempt ended
	Saved bool              // for EventEnded: a checkpoint was saved
	LeftS float64           // for EventNotice: seconds until the machine is reclaimed
}

// HeldAttempt is one attempt in an Inventory.
type HeldAttempt struct {
	Task    protocol.TaskID
	Attempt protocol.Attempt
	State   protocol.TaskState // empty: queued, never sent to its worker
	Cause   protocol.EndCause  // why it ended, if State says so
	Saved   bool               // a checkpoint was saved
	// Team and Need state what the attempt counts against its team's limit, if the team has
	// one. They are sent because the owner may have observed the end of the job already.
	Team protocol.Team
	Need resource.Amount
}

// Inventory lists all attempts of the receiver's jobs on a machine and in its queue. It is
// complete because a worker that has observed the term or, with shards, a fencing token of
// the sender has listed its attempts in a heartbeat.
type Inventory struct {
	Term    protocol.Term
	Tenure  protocol.Term // epoch at which the sender took over the machine's shard
	Machine protocol.MachineID
	Epoch   protocol.Version // version of the machine's record
	Upto    uint64           // number of the receiver's last Place that is included
	Held    []HeldAttempt
}

// CompletedTasks notifies a job's next owner of completed tasks that the previous owner
// could no longer record. A completed task stays completed, whichever controller reports
// it.
type CompletedTasks struct {
	Job    protocol.JobID
	Chunks map[int]record.BitmapChunk // chunks of the bitmap of completed tasks, by index
}
