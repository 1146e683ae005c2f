// Package rules checks the rules of the protocol against what users and workers of
// a run saw, and nothing else.
package rules

import (
	"time"

	"damsonkeel/internal/protocol"
)

// MachineEventKind is what was seen at a machine.
type MachineEventKind uint8

// The kinds of what is seen at machines.
const (
	MachineUp MachineEventKind = iota + 1
	MachineGone
	TaskOn      // a task has its image: it is on the machine
	TaskOff     // it has left the machine
	TaskOrdered // a task's start was taken
	// GangRuns is seen where a gang meets: all tasks of an attempt run.
	GangRuns
)

// MachineEvent is one thing seen at a machine. Times are of one clock for all.
type MachineEvent struct {
	At      time.Duration
	Kind    MachineEventKind
	Machine protocol.MachineID
	Type    protocol.MachineType // of a machine that comes up
	Zone    protocol.Zone
	Spot    bool
	Task    protocol.TaskID
	Attempt protocol.Attempt
	Cause   protocol.EndCause // of a task that leaves
}

// UserEventKind is what a user asked for.
type UserEventKind uint8

// The kinds of what users do.
const (
	UserUploads UserEventKind = iota + 1 // a job's description, before its submission
	UserSubmits
	UserPolls
	UserCancels
)

// UserEvent is one request of a user with its answer. Status 0: there was none.
type UserEvent struct {
	Asked, Answered time.Duration
	Kind            UserEventKind
	Job             protocol.JobID
	Status          int
	State           protocol.JobState
	Details         protocol.Job // of an upload
}

// Team is a team with its limit in processors; 0: none.
type Team struct {
	Name    protocol.Team
	MaxCPUs float64
}

// LimitChange is a change of a team's limit while a run goes on: it was made at some time
// from when it was asked for until it was answered.
type LimitChange struct {
	Asked, Answered time.Duration
	Team            protocol.Team
	MaxCPUs         float64
}

// Terms are what the rules are checked by.
type Terms struct {
	Teams   []Team
	CancelS float64 // how long after a confirmed cancellation tasks may stay
	// Limits are the changes of limits, in order; for WithinS after one, starts may be
	// ordered by the limit before.
	Limits  []LimitChange
	WithinS float64
}

// Rule names a rule of the protocol.
type Rule string

// The rules.
const (
	RanTwice     Rule = "ran_twice"
	Quota        Rule = "quota"
	WrongPlace   Rule = "wrong_place"
	RanCancelled Rule = "ran_cancelled"
	Forgotten    Rule = "forgotten"
	Invented     Rule = "invented"
	NotDone      Rule = "not_done"
	WentBack     Rule = "went_back"
	NothingRan   Rule = "nothing_ran"
)

// Violation is one case of a broken rule.
type Violation struct {
	Rule Rule          `json:"rule"`
	At   time.Duration `json:"at_ns"`
	What string        `json:"what"`
}
