// Package message holds what controllers say to one another, what a
// controller's step functions are told, and the actions that they ask for.
package message

import (
	"damsonkeel/internal/controller/ratelimit"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Placement puts one attempt of a task into a machine's queue.
type Placement struct {
	Task      protocol.TaskID
	Attempt   protocol.Attempt
	Machine   protocol.MachineID
	Epoch     protocol.Version // reservation the machine's record, as the owner knows it
	EstimateS float64
	CPUs      float64
	GPUs      float64
	GB        float64
	// Tenure is that of the machine's keeper, as the owner knows it.
	Tenure protocol.Term
	// Together: others of its gang wait for it.
	Together bool
	Level    int // reservation its job: see level
}

// Need is what the task takes of its machine.
func (p Placement) Need() resource.Amount {
	return resource.Amount{CPUs: p.CPUs, GPUs: p.GPUs, GB: p.GB}
}

// Place hands placements to the controller that keeps the machines' queues.
type Place struct {
	Number uint64 // counts the sender's messages of this kind
	Term   protocol.Term
	// Configuration is the revision that the owner placed by.
	Configuration record.ConfigurationRevision
	Tasks         []Placement
}

// TaskRef names one attempt on one machine.
type TaskRef struct {
	Task    protocol.TaskID
	Attempt protocol.Attempt
	Machine protocol.MachineID
}

// Stop asks for an attempt's end: released if it was never sent, else killed.
// Without Kill only an attempt never sent is released.
type Stop struct {
	TaskRef
	Kill   bool
	GraceS float64
}

// EventKind an event says of an attempt.
type EventKind uint8

// The events of attempts.
const (
	EventPresent  EventKind = iota + 1 // the worker has it
	EventRunning                       // it runs
	EventEnded                         // it ended
	EventReleased                      // it was never sent, and never will be
	EventNotice                        // its machine is about to be taken
)

// TaskEvent tells an owner what became of an attempt.
type TaskEvent struct {
	TaskRef
	What  EventKind
	Cause protocol.EndCause
	Saved bool
	LeftS float64 // reservation a notice: until the machine is taken
}

// HeldAttempt is one attempt in an inventory.
type HeldAttempt struct {
	Task    protocol.TaskID
	Attempt protocol.Attempt
	State   protocol.TaskState // empty: queued, never sent
	Cause   protocol.EndCause
	Saved   bool
	// Team and Need are what it counts against, if its team has a limit: to its owner
	// its job may be over already.
	Team protocol.Team
	Need resource.Amount
}

// Inventory is everything of the addressee's jobs on a machine and in its
// queue, proven by a report of a worker that has seen the term.
type Inventory struct {
	Term    protocol.Term
	Tenure  protocol.Term // reservation the keeper that gives it
	Machine protocol.MachineID
	Epoch   protocol.Version
	Upto    uint64 // last Place of the addressee that is taken into account
	Held    []HeldAttempt
}

// WaitChange is a change of a machine's expected wait, in processor seconds.
type WaitChange struct {
	Machine protocol.MachineID
	Add     float64
	Taken   []LevelUse
}

// WaitsAdded tells all peers what placing tasks has added to machines. Numbers are,
// reportedBy keeper, those of the Place messages that carry these placements: a table
// that includes a keeper's word on them already does not count them again.
type WaitsAdded struct {
	Term    protocol.Term
	Numbers map[protocol.NodeName]uint64
	Waits   []WaitChange
}

// LevelUse is what attempts of one level take of a machine.
type LevelUse struct {
	Level          int
	CPUs, GPUs, GB float64
}

// LevelUses is the form in which uses are sent.
func LevelUses(u *resource.Uses) []LevelUse {
	var us []LevelUse
	for l, r := range u {
		if r != (resource.Amount{}) {
			us = append(us, LevelUse{l, r.CPUs, r.GPUs, r.GB})
		}
	}
	return us
}

// AddLevelUses takes uses as they were sent.
func AddLevelUses(u *resource.Uses, us []LevelUse) {
	for _, n := range us {
		u.Add(resource.Level(n.Level), resource.Amount{CPUs: n.CPUs, GPUs: n.GPUs, GB: n.GB})
	}
}

// MachineState is what a machine's controller tells all others of it, when it
// changes.
type MachineState struct {
	Machine  protocol.MachineID
	Epoch    protocol.Version // 0: its present session is not registered yet, nothing can be said
	Wait     float64          // processor seconds
	Queue    []float64        // reservation these, of what was never sent, by level
	FreeCPUs float64
	FreeGPUs float64
	FreeGB   float64
	Uses     []LevelUse // what is on it or in its queue, by level
	Ending   LevelUse   // what comes free each second, by estimate, as its tasks end
	Heard    bool       // what is on it is known: else it may hold more
	Held     int        // attempts on it or in its queue
	Queued   int        // reservation these, never sent
	Closed   bool
	Suspect  bool
	Draining bool
	Noticed  bool // the cloud is about to take it
	Silence  Silence
	IdleS    float64  // how long it has held nothing, when this was sent
	Images   []string // fetched lately
	// Runs is what it runs, while anything is promised for later.
	Runs []reservation.Run
}

// Progress is how far a job is.
type Progress struct {
	Job           protocol.JobID
	Done, Running uint32
	// Level is its level and 1, while anything is promised for later: keepers who
	// found its tasks on machines have to guess it otherwise. 0: not told.
	Level int
	// Failing: it fails wherever it runs, which speaks against no machine.
	Failing bool
}

// Demand is work of one job that no machine has started.
type Demand struct {
	Job       protocol.JobID
	Unstarted int
	Level     int
	EstimateS float64
	OldestS   float64
	Zone      protocol.Zone // the only one left to it, as the rest of it is there
}

// StateUpdate is a controller's regular message to each peer: what changed of the
// machines it keeps and of the jobs it owns, in streams that begin anew with
// each term (package relay).
type StateUpdate struct {
	Term   protocol.Term
	Acting bool // the sender's lease is valid by its own clock
	// Configuration is the revision that the sender acts by.
	Configuration record.ConfigurationRevision
	// HaveMachines and HaveJobs are how far the sender holds the addressee's
	// streams of this term.
	HaveMachines, HaveJobs uint64

	Machines replication.Range
	States   []MachineState
	// Handled is, by owner, the last Place that the states include; nil while
	// some of the states are still to come.
	Handled map[protocol.NodeName]uint64

	Jobs     replication.Range
	Progress []Progress

	Demand []Demand // all of it, each time

	Load Load // reservation the sender

	// Ask and Loan share out the state service's rates by need (package ratesharing).
	Ask  ratelimit.Request
	Loan *ratelimit.Grant

	// ReservationHolds is what is held for reservations, by the controller that rents, to
	// those who have not got it yet; HaveHolds numbers what the sender has.
	Holds     *ReservationHolds
	HaveHolds uint64
}

// ReservationHolds is all that is held for reservations.
type ReservationHolds struct {
	Number uint64
	List   []reservation.Hold
}

// PeerMessage is one message between controllers; one field is set.
type PeerMessage struct {
	Place     *Place
	Stop      *Stop
	Event     *TaskEvent
	Released  []TaskRef // events of this kind, many at once
	Forget    *TaskRef
	Inventory *Inventory
	Added     *WaitsAdded
	Relay     *StateUpdate
	Drain     *protocol.MachineID
	Record    *RecordChange
	AskTable  bool
	Done      *CompletedTasks
	Move      *MoveShards
	Hand      *Handover
	Table     []WaitChange
}

// CompletedTasks tells the next owner of a job which of its tasks are done, as far as
// the owner before could not write it any more. What is done stays done, whoever
// says so.
type CompletedTasks struct {
	Job    protocol.JobID
	Chunks map[int]record.BitmapChunk
}

// Batch carries messages in order between two sessions. A repeated batch is
// recognised by its number.
type Batch struct {
	From        protocol.NodeName
	FromSession protocol.LeaseID
	ToSession   protocol.LeaseID
	Term        protocol.Term
	Shares      protocol.Term // the sender's record of shares, by its epoch
	First       uint64
	Messages    []PeerMessage
}

// BatchReply says what became of a batch.
type BatchReply uint8

// The replies to batches.
const (
	BatchAccepted BatchReply = iota + 1
	BatchBehind              // the receiver has not read the sender's term yet: send again
	BatchStale               // one of the sessions is over: drop it
	BatchExcluded            // the same, and who answers acts by a view without the sender
)

// RecordChange asks the registrar to write a machine's record, or to delete it.
type RecordChange struct {
	Term    protocol.Term
	Machine protocol.MachineID
	// Tenure is that of the sender, which a removal depends on: nobody else can have
	// answered the machine. 0: it depends on none.
	Tenure protocol.Term
	From   protocol.NodeName // as the registrar notes it
	Have   protocol.Version  // the epoch of the record that the sender knows; 0: none
	To     *record.Machine
}

// Silence is how a worker's quiet looks.
type Silence uint8

const (
	SilenceNone Silence = iota // refuse longer than a healthy worker's
	SilenceSome                // longer
	SilenceLong                // reportedAt least twice as long: nothing is placed there
)
