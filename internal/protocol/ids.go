package protocol

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// JobID identifies a job; users choose it.
type JobID string

// TaskID identifies one task of a job. Workers receive error texts of Decode that contain
// the name of this type, so it must not change.
type TaskID struct {
	Job   JobID
	Index uint32
}

// MachineID identifies a machine; the cloud assigns it.
type MachineID string

// MachineType names a type of machine in the cloud's catalogue.
type MachineType string

// Zone names a failure domain of the cloud's machines.
type Zone string

// Team names a team of users.
type Team string

// NodeName names a controller.
type NodeName string

// Term numbers the views, which list the controllers that take part, and the epochs of shards.
// In messages with workers it is the fencing token of commands: the epoch of the worker's
// shard, or the term of the view if there are no shards. Workers refuse commands with a lower
// one than they have observed.
type Term uint64

// Attempt numbers the starts of a task. It only ever increases for a task.
type Attempt uint64

// AgentEpoch numbers the incarnations of the agent on a machine: it increases whenever the
// agent starts anew, without its earlier tasks.
type AgentEpoch uint64

// Seq is the sequence number of a heartbeat within an agent epoch.
type Seq uint64

// Version is the key-value store's version of a key, which increases with each write of it. A
// key that does not exist has version 0.
type Version uint64

// Revision counts the changes of the key-value store.
type Revision uint64

// LeaseID identifies a lease of the key-value store.
type LeaseID uint64

// MaxTasks is the largest number of tasks a job may have.
const MaxTasks = 100_000

const (
	jobIDPrefix    = "job-"
	maxJobIDLength = 64
)

var (
	errJobIDForm      = errors.New("want job- and a number")
	errJobIDCharacter = errors.New("unexpected character")
	errNoTaskIndex    = errors.New("no slash")
	errTaskIndex      = errors.New("bad index")
)

// ParseJobID checks that s is a valid job id and returns it: "job-" and at least one letter,
// digit, dash or underscore, in at most maxJobIDLength bytes.
func ParseJobID(s string) (JobID, error) {
	suffix, ok := strings.CutPrefix(s, jobIDPrefix)
	if !ok || suffix == "" || len(s) > maxJobIDLength {
		return "", fmt.Errorf("job id %.70q: %w", s, errJobIDForm)
	}
	for _, c := range suffix {
		if !isJobIDCharacter(c) {
			return "", fmt.Errorf("job id %.70q: %w", s, errJobIDCharacter)
		}
	}
	return JobID(s), nil
}

func isJobIDCharacter(c rune) bool {
	switch {
	case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		return true
	}
	return c == '-' || c == '_'
}

// String returns the wire form of the id: the job id, a slash and the index.
func (t TaskID) String() string { return string(t.Job) + "/" + strconv.FormatUint(uint64(t.Index), 10) }

// ParseTaskID parses the wire form of a task id: a valid job id, a slash and an index below
// MaxTasks without leading zeros.
func ParseTaskID(s string) (TaskID, error) {
	job, index, ok := strings.Cut(s, "/")
	if !ok {
		return TaskID{}, fmt.Errorf("task id %.80q: %w", s, errNoTaskIndex)
	}
	id, err := ParseJobID(job)
	if err != nil {
		return TaskID{}, fmt.Errorf("task id: %w", err)
	}
	n, err := strconv.ParseUint(index, 10, 32)
	if err != nil || n >= MaxTasks || (len(index) > 1 && index[0] == '0') {
		return TaskID{}, fmt.Errorf("task id %.80q: %w", s, errTaskIndex)
	}
	return TaskID{Job: id, Index: uint32(n)}, nil
}

// MarshalText returns the wire form of the id.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText parses the wire form of an id.
func (t *TaskID) UnmarshalText(b []byte) error {
	id, err := ParseTaskID(string(b))
	if err == nil {
		*t = id
	}
	return err
}
