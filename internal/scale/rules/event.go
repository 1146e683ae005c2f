package rules

import (
	"time"

	"damsonkeel/internal/protocol"
)

// MachineEventKind is the kind of a machine event.
type MachineEventKind uint8

// The kinds of machine events.
const (
	MachineUp MachineEventKind = iota + 1
	MachineLost
	TaskStarted       // the task has its image and occupies the machine
	TaskEnded         // the task has left the machine
	TaskStartAccepted // the worker accepted the order to start the task
	// GangRunning is recorded once all tasks of a gang's attempt have started.
	GangRunning
)

// MachineEvent is one observation of a worker. All times are of the same clock.
type MachineEvent struct {
	At      time.Duration
	Kind    MachineEventKind
	Machine protocol.MachineID
	Type    protocol.MachineType // of a MachineUp event, as are Zone and Spot
	Zone    protocol.Zone
	Spot    bool
	Task    protocol.TaskID
	Attempt protocol.Attempt
	Cause   protocol.EndCause // of a TaskEnded event
}

// UserEventKind is the kind of a user's request.
type UserEventKind uint8

// The kinds of user events.
const (
	UserDescribes UserEventKind = iota + 1 // records a job's description, before its submission
	UserSubmits
	UserPolls
	UserCancels
)

// UserEvent is one request of a user with its answer. Status 0 means that there was no
// answer.
type UserEvent struct {
	RequestedAt, AnsweredAt time.Duration
	Kind                    UserEventKind
	Job                     protocol.JobID
	Status                  int
	State                   protocol.JobState
	Description             protocol.Job // of a UserDescribes event
}

// Team is a team with its limit in processors; 0 means no limit.
type Team struct {
	Name    protocol.Team
	MaxCPUs float64
}

// LimitChange is a change of a team's limit during the run. It took effect at some time
// between its request and its answer.
type LimitChange struct {
	RequestedAt, AnsweredAt time.Duration
	Team                    protocol.Team
	MaxCPUs                 float64
}

// Requirements are the parameters of the rules.
type Requirements struct {
	Teams        []Team
	CancelGraceS float64 // how long tasks may stay after a confirmed cancellation
	// LimitChanges are the changes of limits, in order. For LimitGraceS after a change,
	// starts may still be ordered under the previous limit.
	LimitChanges []LimitChange
	LimitGraceS  float64
}
