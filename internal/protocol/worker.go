package protocol

import (
	"errors"
	"fmt"
	"math"
)

// TaskState is what a worker says a task does.
type TaskState string

// The states of tasks on a machine.
const (
	TaskFetching TaskState = "fetching"
	TaskWaiting  TaskState = "gathering"
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "saving"
	TaskEnded    TaskState = "ended"
)

// EndCause is why a task ended.
type EndCause string

// The causes of an end.
const (
	EndDone       EndCause = "done"
	EndStopped    EndCause = "stopped"
	EndGangLost   EndCause = "mates_gone"
	EndIncomplete EndCause = "incomplete"
	EndError      EndCause = "error"
	EndFull       EndCause = "full"
	EndInUse      EndCause = "in_use"
	EndUnknown    EndCause = "unknown"
)

// TaskStatus is one task in a worker's report.
type TaskStatus struct {
	Task         TaskID    `cbor:"haul"`
	Attempt      Attempt   `cbor:"launch"`
	State        TaskState `cbor:"bearing"`
	Cause        EndCause  `cbor:"wreckcause,omitempty"`
	Checkpointed bool      `cbor:"saved,omitempty"`
}

// Heartbeat is what a worker says of itself.
type Heartbeat struct {
	Machine    MachineID    `cbor:"vessel"`
	Address    string       `cbor:"address"`
	Type       MachineType  `cbor:"hull"`
	Zone       Zone         `cbor:"quay"`
	Spot       bool         `cbor:"driftstock"`
	AgentEpoch AgentEpoch   `cbor:"watch"`
	Seq        Seq          `cbor:"logline"`
	Term       Term         `cbor:"helm"`
	NoticeS    *float64     `cbor:"recall_s"`
	Tasks      []TaskStatus `cbor:"hauls"`
}

// ParseHeartbeat reads and checks a report.
func ParseHeartbeat(body []byte) (Heartbeat, error) {
	var r Heartbeat
	if err := Decode(body, &r); err != nil {
		return r, err
	}
	switch {
	case r.Machine == "" || len(r.Machine) > 100:
		return r, errors.New("report: no machine")
	case r.AgentEpoch == 0:
		return r, errors.New("report: no session")
	case r.Type == "" || r.Zone == "":
		return r, errors.New("report: no machine type or zone")
	case r.NoticeS != nil && (math.IsNaN(*r.NoticeS) || *r.NoticeS < 0):
		return r, errors.New("report: bad notice")
	}
	for _, t := range r.Tasks {
		switch t.State {
		case TaskFetching, TaskWaiting, TaskRunning, TaskSaving, TaskEnded:
		default:
			return r, fmt.Errorf("report: task %v: unknown state %.20q", t.Task, t.State)
		}
	}
	return r, nil
}

// Op is what a worker is told to do.
type Op string

// The commands of workers.
const (
	OpStart  Op = "start"
	OpStop   Op = "kill"
	OpForget Op = "reap"
)

// Order is one command to a worker.
type Order struct {
	Op      Op       `cbor:"order"`
	Task    TaskID   `cbor:"haul"`
	Attempt Attempt  `cbor:"launch"`
	GraceS  *float64 `cbor:"slack_s,omitempty"`
}

// HeartbeatReply answers a report.
type HeartbeatReply struct {
	Term   Term    `cbor:"helm"`
	Orders []Order `cbor:"orders"`
}

// Commands is sent straight to a worker.
type Commands struct {
	Term       Term       `cbor:"helm"`
	AgentEpoch AgentEpoch `cbor:"watch"`
	Orders     []Order    `cbor:"orders"`
}

// Redirect sends a worker to another controller.
type Redirect struct {
	Leader NodeName `cbor:"harbormaster,omitempty"`
}

// ErrorBody says in words what was wrong.
type ErrorBody struct {
	Error string `cbor:"error"`
}
