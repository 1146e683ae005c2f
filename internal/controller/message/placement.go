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
	Epoch     protocol.Version // of the machine's record, as the owner knows it
	EstimateS float64
	CPUs      float64
	GPUs      float64
	GB        float64
	// Tenure is the epoch of the holder of the machine's shard, as the owner knows it.
	Tenure protocol.Term
	// Together: the task is part of a gang, others of which wait for it.
	Together bool
	Level    int // of its job: see resource.Level
}

// Need returns what the task uses of its machine.
func (p Placement) Need() resource.Amount {
	return resource.Amount{CPUs: p.CPUs, GPUs: p.GPUs, GB: p.GB}
}

// Place sends placements from the owner of jobs to the dispatcher of machines.
type Place struct {
	Number uint64 // counts the sender's messages of this kind
	Term   protocol.Term
	// Configuration is the revision by which the owner placed the tasks.
	Configuration record.ConfigurationRevision
	Tasks         []Placement
}

// TaskRef identifies one attempt on one machine.
type TaskRef struct {
	Task    protocol.TaskID
	Attempt protocol.Attempt
	Machine protocol.MachineID
}

// Stop asks the dispatcher to end an attempt. It is released if it was never sent to its
// worker, else killed. Without Kill, only an attempt that was never sent is released.
type Stop struct {
	TaskRef
	Kill   bool
	GraceS float64
}

// EventKind is the kind of a TaskEvent. Its numbers are sent to peers.
type EventKind uint8

// The kinds of events of attempts.
const (
	EventPresent  EventKind = iota + 1 // the worker has it
	EventRunning                       // it runs
	EventEnded                         // it has ended
	EventReleased                      // it was never sent to its worker, and never will be
	EventNotice                        // its machine is about to be reclaimed
)

// TaskEvent notifies an owner of what became of an attempt.
type TaskEvent struct {
	TaskRef
	What  EventKind
	Cause protocol.EndCause
	Saved bool
	LeftS float64 // for EventNotice: seconds until the machine is reclaimed
}

// HeldAttempt is one attempt in an Inventory.
type HeldAttempt struct {
	Task    protocol.TaskID
	Attempt protocol.Attempt
	State   protocol.TaskState // empty: queued, never sent to its worker
	Cause   protocol.EndCause
	Saved   bool
	// Team and Need are what it counts against the limit of its team, if there is one. For
	// its owner, its job may have ended already.
	Team protocol.Team
	Need resource.Amount
}

// Inventory lists all attempts of the addressee's jobs on a machine and in its queue, as
// proven by a heartbeat of a worker that has observed the term.
type Inventory struct {
	Term    protocol.Term
	Tenure  protocol.Term // epoch of the sender as the holder of the machine's shard
	Machine protocol.MachineID
	Epoch   protocol.Version
	Upto    uint64 // number of the addressee's last Place that is included
	Held    []HeldAttempt
}

// CompletedTasks sends a job's next owner which of its tasks are done, as far as the owner
// before could no longer record it. What is done stays done, whoever reports it.
type CompletedTasks struct {
	Job    protocol.JobID
	Chunks map[int]record.BitmapChunk
}
