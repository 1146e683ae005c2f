package record

// JobRecord is the state of a job as reported to its users.
type JobRecord struct {
	State string `cbor:"state"` // one of the Record... constants
	Tasks uint32 `cbor:"tasks"` // number of tasks of the job
}

// The states of job records.
const (
	RecordLive      = "live" // accepted and neither done nor cancelled
	RecordDone      = "done" // all tasks are finished
	RecordCancelled = "aborted"
)
