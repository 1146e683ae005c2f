package protocol

import (
	"errors"
	"fmt"
	"math"
)

// TaskState is the state of a task on its worker.
type TaskState string

// The states of tasks on a worker.
const (
	TaskFetching TaskState = "fetching"  // its image
	TaskWaiting  TaskState = "gathering" // for the other tasks of its gang
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "saving" // its checkpoint, before it stops
	TaskEnded    TaskState = "ended"
)

func (s TaskState) known() bool {
	switch s {
	case TaskFetching, TaskWaiting, TaskRunning, TaskSaving, TaskEnded:
		return true
	}
	return false
}

// EndCause is why a task ended.
type EndCause string

// The causes of the end of a task.
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

// TaskStatus is the state of one task in a heartbeat.
type TaskStatus struct {
	Task         TaskID    `cbor:"haul"`
	Attempt      Attempt   `cbor:"launch"`
	State        TaskState `cbor:"bearing"`
	Cause        EndCause  `cbor:"wreckcause,omitempty"`
	Checkpointed bool      `cbor:"saved,omitempty"`
}

// Heartbeat is a worker's heartbeat with the state of its machine and of its tasks. The
// type's name is part of texts that workers get from Decode.
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

const maxMachineIDLength = 100

// Errors of malformed heartbeats, as workers get them.
var (
	errNoMachine    = errors.New("report: no machine")
	errNoAgentEpoch = errors.New("report: no session")
	errNoTypeOrZone = errors.New("report: no machine type or zone")
	errBadNotice    = errors.New("report: bad notice")
	errTaskState    = errors.New("unknown state")
)

// ParseHeartbeat decodes and checks a heartbeat.
func ParseHeartbeat(body []byte) (Heartbeat, error) {
	var h Heartbeat
	if err := Decode(body, &h); err != nil {
		return h, err
	}
	switch {
	case h.Machine == "" || len(h.Machine) > maxMachineIDLength:
		return h, errNoMachine
	case h.AgentEpoch == 0:
		return h, errNoAgentEpoch
	case h.Type == "" || h.Zone == "":
		return h, errNoTypeOrZone
	case h.NoticeS != nil && (math.IsNaN(*h.NoticeS) || *h.NoticeS < 0):
		return h, errBadNotice
	}
	for _, task := range h.Tasks {
		if !task.State.known() {
			return h, fmt.Errorf("report: task %v: %w %.20q", task.Task, errTaskState, task.State)
		}
	}
	return h, nil
}
