// Package protocol holds the wire messages of every interface, their CBOR
// form and their validation. The platform's own words appear only here, as
// field tags; the rest of the program speaks of jobs, tasks and machines.
package protocol

import (
	"fmt"
	"strconv"
	"strings"
)

// JobID names a job; users choose it.
type JobID string

// TaskID names one task of a job.
type TaskID struct {
	Job   JobID
	Index uint32
}

// MachineID names a machine, as the cloud calls it.
type MachineID string

// MachineType names a type of machine in the cloud's catalogue.
type MachineType string

// Zone names a failure domain.
type Zone string

// Team names a team of users.
type Team string

// NodeName names a controller.
type NodeName string

// Term is the token that entitles controllers to command workers.
type Term uint64

// Attempt numbers the starts of a task; it only ever grows for a task.
type Attempt uint64

// AgentEpoch numbers a worker's leases on life.
type AgentEpoch uint64

// Seq orders the messages of one session.
type Seq uint64

// Version is the state service's version of a key; 0 is a key that is not there.
type Version uint64

// Revision counts the state service's changes.
type Revision uint64

// LeaseID names a lease of the state service.
type LeaseID uint64

// MaxTasks is the largest number of tasks a job may have.
const MaxTasks = 100_000

// ParseJobID checks that s has the form every job id has.
func ParseJobID(s string) (JobID, error) {
	const prefix = "job-"
	if !strings.HasPrefix(s, prefix) || len(s) == len(prefix) || len(s) > 64 {
		return "", fmt.Errorf("job id %.70q: want job- and a number", s)
	}
	for _, c := range s[len(prefix):] {
		if (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && c != '-' && c != '_' {
			return "", fmt.Errorf("job id %.70q: unexpected character", s)
		}
	}
	return JobID(s), nil
}

// String writes the id as workers know it.
func (t TaskID) String() string { return string(t.Job) + "/" + strconv.FormatUint(uint64(t.Index), 10) }

// ParseTaskID reads an id as workers write it.
func ParseTaskID(s string) (TaskID, error) {
	job, index, ok := strings.Cut(s, "/")
	if !ok {
		return TaskID{}, fmt.Errorf("task id %.80q: no slash", s)
	}
	id, err := ParseJobID(job)
	if err != nil {
		return TaskID{}, fmt.Errorf("task id: %w", err)
	}
	n, err := strconv.ParseUint(index, 10, 32)
	if err != nil || n >= MaxTasks || (len(index) > 1 && index[0] == '0') {
		return TaskID{}, fmt.Errorf("task id %.80q: bad index", s)
	}
	return TaskID{Job: id, Index: uint32(n)}, nil
}

// MarshalText writes the id as workers know it.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText reads an id as workers write it.
func (t *TaskID) UnmarshalText(b []byte) error {
	id, err := ParseTaskID(string(b))
	if err == nil {
		*t = id
	}
	return err
}
