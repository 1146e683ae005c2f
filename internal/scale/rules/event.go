package rules

import (
	"time"

	"damsonkeel/internal/protocol"
)

// MachineEventKind is the kind of a machine event.
type MachineEventKind uint8

// The kinds of machine events.
const (
	MachineUp         MachineEventKind = iota + 1 // the machine has started
	MachineLost                                   // the machine has stopped, and its tasks no longer occupy it
	TaskStarted                                   // the task's image is present and the task occupies the machine
	TaskEnded                                     // the task no longer occupies the machine
	TaskStartAccepted                             // the worker accepted the command to start the task
	// GangRunning is recorded once all tasks of one attempt of a gang have started.
	GangRunning
)

// MachineEvent is one event observed on a worker, which is the agent that runs the tasks of a
// machine. All workers of a run stamp their events with the same monotonic clock.
type MachineEvent struct {
	At      time.Duration
	Kind    MachineEventKind
	Machine protocol.MachineID
	Type    protocol.MachineType // set in a MachineUp event, like Zone and Spot
	Zone    protocol.Zone
	Spot    bool
	Task    protocol.TaskID
	Attempt protocol.Attempt
	Cause   protocol.EndCause // set in a TaskEnded event
}

// UserEventKind is the kind of a user's request.
type UserEventKind uint8

// The kinds of user events.
const (
	UserDescribes UserEventKind = iota + 1 // a job's description is recorded before its submission
	UserSubmits                            // a job is submitted
	UserPolls                              // a job's state is queried
	UserCancels                            // a job is cancelled
)

// UserEvent is one request of a user with its response. Status is the HTTP status; 0 means
// that no response arrived. State is the job's state in a successful response.
type UserEvent struct {
	RequestedAt, AnsweredAt time.Duration
	Kind                    UserEventKind
	Job                     protocol.JobID
	Status                  int
	State                   protocol.JobState
	Description             protocol.Job // set in a UserDescribes event
}

// Team is a team with the limit on the processors that its tasks may use at once; 0 means
// no limit.
type Team struct {
	Name    protocol.Team
	MaxCPUs float64
}

// LimitChange is a change of a team's limit during the run. It took effect at some time
// between its request and the response.
type LimitChange struct {
	RequestedAt, AnsweredAt time.Duration
	Team                    protocol.Team
	MaxCPUs                 float64
}

// Requirements are the parameters of the rules.
type Requirements struct {
	Teams        []Team
	CancelGraceS float64 // how many seconds tasks may keep running after a confirmed cancellation
	// LimitChanges are the changes of limits, in order. For LimitGraceS seconds after the response
	// to a change, controllers may still order starts under the previous limit.
	LimitChanges []LimitChange
	LimitGraceS  float64
}
