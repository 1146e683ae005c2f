package protocol

// Kind determines how the tasks of a job are scheduled.
type Kind string

// Kinds of jobs.
const (
	KindJobArray Kind = "batch"    // independent tasks
	KindGang     Kind = "gang"     // tasks that all run at the same time
	KindService  Kind = "standing" // tasks that run until the job is cancelled
)

func (k Kind) known() bool {
	switch k {
	case KindJobArray, KindGang, KindService:
		return true
	}
	return false
}

// Priority orders jobs for preemption.
type Priority string

// priorityRanks lists all priorities with their ranks. The most urgent one has the highest rank.
var priorityRanks = map[Priority]int{"production": 3, "high": 2, "standard": 1, "best_effort": 0}

// Rank returns the rank of the priority; a more urgent priority has a higher rank. It is 0, the
// lowest, for an unknown priority.
func (p Priority) Rank() int { return priorityRanks[p] }

// Known reports whether the priority is one of those in priorityRanks.
func (p Priority) Known() bool {
	_, ok := priorityRanks[p]
	return ok
}

// Job is the specification of a job as its user submitted it.
type Job struct {
	ID                  JobID         `cbor:"id"`
	Class               string        `cbor:"berth"`
	Team                Team          `cbor:"crew"`
	Kind                Kind          `cbor:"rig"`
	Priority            Priority      `cbor:"tide"`
	Tasks               uint32        `cbor:"hauls"`
	CPUs                float64       `cbor:"cores"`
	GPUs                float64       `cbor:"gpus"`
	MemoryGB            float64       `cbor:"memory_gb"`
	Image               string        `cbor:"hullcast"`
	ImageGB             float64       `cbor:"image_gb"`
	Types               []MachineType `cbor:"hulls"`
	Zone                Zone          `cbor:"quay"`
	OneZone             bool          `cbor:"together"`
	Spread              bool          `cbor:"scatter"`
	Spot                bool          `cbor:"driftstock"`
	EstimateS           float64       `cbor:"passage_s"`
	CheckpointS         float64       `cbor:"logmark_s"`
	CheckpointDurationS float64       `cbor:"stow_s"`
	DeadlineS           float64       `cbor:"landfall_s"`
	SubmittedMS         int64         `cbor:"submitted_ms,omitempty"` // time of acceptance by the accepting controller's clock; not part of submissions
}

// JobState is the state of a job as reported to users.
type JobState string

// States of a job.
const (
	JobQueued    JobState = "queued"  // no task runs
	JobRunning   JobState = "running" // some task runs
	JobDone      JobState = "done"    // all tasks are finished
	JobCancelled JobState = "aborted" // its user cancelled it
)

// JobStatus is the response to submissions, polls and cancellations. Done and Running
// count finished and running tasks.
type JobStatus struct {
	ID      JobID    `cbor:"id"`
	State   JobState `cbor:"bearing"`
	Done    *uint32  `cbor:"done,omitempty"`
	Running *uint32  `cbor:"running,omitempty"`
}
