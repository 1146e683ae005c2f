package protocol

import (
	"errors"
	"fmt"
	"math"
)

// TaskState is the state of a task on a worker.
type TaskState string

// States of a task on a worker.
const (
	TaskFetching TaskState = "fetching"  // the worker is fetching its image
	TaskWaiting  TaskState = "gathering" // it is waiting for the other tasks of its gang
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "saving" // it is saving a checkpoint before it stops
	TaskEnded    TaskState = "ended"
)

func (s TaskState) known() bool {
	switch s {
	case TaskFetching, TaskWaiting, TaskRunning, TaskSaving, TaskEnded:
		return true
	}
	return false
}

// EndCause is the reason why a task ended.
type EndCause string

// Reasons why a task ended.
const (
	EndDone       EndCause = "done"       // it completed
	EndStopped    EndCause = "stopped"    // a controller stopped it
	EndGangLost   EndCause = "mates_gone" // another task of its gang was lost
	EndIncomplete EndCause = "incomplete" // the other tasks of its gang did not start in time
	EndError      EndCause = "error"      // it failed
	EndFull       EndCause = "full"       // the machine had too few free resources
	EndInUse      EndCause = "in_use"     // the start was refused: another attempt of the task is already on the machine
	EndUnknown    EndCause = "unknown"    // the worker found no description of the job
)

// TaskStatus is the state of one task in a heartbeat. Cause is set once the task has ended.
type TaskStatus struct {
	Task         TaskID    `cbor:"haul"`
	Attempt      Attempt   `cbor:"launch"`
	State        TaskState `cbor:"bearing"`
	Cause        EndCause  `cbor:"wreckcause,omitempty"`
	Checkpointed bool      `cbor:"saved,omitempty"`
}

// Heartbeat reports the state of a worker's machine and of its tasks. NoticeS is nil unless the
// cloud has announced that it will reclaim the machine. Workers receive error texts of Decode
// that contain the name of this type, so it must not change.
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

// Errors of malformed heartbeats. Their texts are part of the responses to workers.
var (
	errNoMachine    = errors.New("report: no machine")
	errNoAgentEpoch = errors.New("report: no session")
	errNoTypeOrZone = errors.New("report: no machine type or zone")
	errBadNotice    = errors.New("report: bad notice")
	errTaskState    = errors.New("unknown state")
)

// ParseHeartbeat decodes a heartbeat. It returns an error if the heartbeat can't be decoded,
// lacks the machine, agent epoch, type or zone, or has an invalid notice or an unknown task
// state.
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
