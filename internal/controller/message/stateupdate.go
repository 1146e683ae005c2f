package message

import (
	"damsonkeel/internal/controller/ratelimit"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// StateUpdate is the regular message of a controller to each peer: what has changed of the
// machines that it dispatches to and of the jobs that it owns, in streams that start anew
// with each term (package replication).
type StateUpdate struct {
	Term   protocol.Term
	Acting bool // the sender holds its lease by its own clock
	// Configuration is the revision that is in force at the sender.
	Configuration record.ConfigurationRevision
	// HaveMachines and HaveJobs are how far the sender has received the addressee's
	// streams of this term.
	HaveMachines, HaveJobs uint64

	Machines replication.Range
	States   []MachineState
	// Handled is, by owner, the number of the last Place that the states include; nil
	// while some of the states are still to come.
	Handled map[protocol.NodeName]uint64

	Jobs     replication.Range
	Progress []Progress

	Demand []Demand // all of it, each time

	Load Load // of the sender

	// Ask and Loan share the rates of the key-value store by need (package ratelimit).
	Ask  ratelimit.Request
	Loan *ratelimit.Grant

	// Holds is sent by the controller that provisions machines, to those that do not have
	// its present number yet; HaveHolds is the number that the sender has.
	Holds     *ReservationHolds
	HaveHolds uint64
}

// Load is what a controller reports of itself, for the balancing of shards.
type Load struct {
	LateMS  float64 // how late its ticks are, on average
	Leaving bool    // it is shutting down
}

// Progress is the progress of a job.
type Progress struct {
	Job           protocol.JobID
	Done, Running uint32
	// Level is the job's level plus 1, while there are reservations: dispatchers that
	// found its tasks on machines have to guess it otherwise. 0: not sent.
	Level int
	// Failing: it fails wherever it runs, which does not count against any machine.
	Failing bool
}

// Demand is the part of one job that no machine has started.
type Demand struct {
	Job       protocol.JobID
	Unstarted int
	Level     int
	EstimateS float64
	OldestS   float64
	Zone      protocol.Zone // the only zone possible, since the rest of the job is there
}

// ReservationHolds is all resources that are held for reservations.
type ReservationHolds struct {
	Number uint64
	List   []reservation.Hold
}
