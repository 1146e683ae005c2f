package message

import (
	"damsonkeel/internal/controller/ratelimit"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// StateUpdate is the regular message of a controller to each peer. It contains the changes
// of the machines that the sender dispatches to and of the jobs that it owns, in streams
// that restart with each term (package replication).
type StateUpdate struct {
	Term   protocol.Term
	Acting bool // the sender holds its lease by its own clock
	// Configuration is the revision of the configuration in force at the sender.
	Configuration record.ConfigurationRevision
	// HaveMachines and HaveJobs are the positions up to which the sender has received the
	// receiver's streams of this term.
	HaveMachines, HaveJobs uint64

	Machines replication.Range // the changes that States contains
	States   []MachineState
	// Handled holds, by owner, the number of the last Place that the states include. It is
	// nil if some states did not fit and follow in a later update.
	Handled map[protocol.NodeName]uint64

	Jobs     replication.Range // the changes that Progress contains
	Progress []Progress

	Demand []Demand // the sender's complete demand, in each update

	Load Load // the sender's report on itself

	// Ask requests a part of the receiver's rates of the key-value store, and Loan grants
	// the receiver a part of the sender's (package ratelimit).
	Ask  ratelimit.Request
	Loan *ratelimit.Grant

	// Holds is sent by the controller that provisions machines to each peer that does not
	// have the current list yet. HaveHolds is the number of the list that the sender has
	// received.
	Holds     *ReservationHolds
	HaveHolds uint64
}

// Load is a controller's report on itself, for the balancing of shards.
type Load struct {
	LateMS  float64 // moving average of the delay of its ticks, in milliseconds
	Leaving bool    // the controller is shutting down
}

// Progress is the progress of a job.
type Progress struct {
	Job           protocol.JobID
	Done, Running uint32 // numbers of completed and of running tasks
	// Level is the job's level plus 1, and is sent while reservations exist: otherwise
	// dispatchers that find the job's tasks on machines have to guess the level. 0: not
	// sent.
	Level int
	// Failing: the job fails on every machine, so its failures do not count against any.
	Failing bool
}

// Demand is the demand of one job's tasks that may start now and that no machine has
// started.
type Demand struct {
	Job       protocol.JobID
	Unstarted int           // number of these tasks
	Level     int           // the job's resource.Level
	EstimateS float64       // estimated run time of a task, in seconds
	OldestS   float64       // how long the oldest of these tasks has waited: seconds since the job was submitted
	Zone      protocol.Zone // the only possible zone, since other tasks of the job are there; empty: any
}

// ReservationHolds lists all resources that are held for reservations.
type ReservationHolds struct {
	Number uint64 // identifies the list; its upper half is the term
	List   []reservation.Hold
}
