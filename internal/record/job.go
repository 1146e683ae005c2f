package record

// JobRecord is the state of a job as reported to its users. RecordLive stands for
// every state that is not final.
type JobRecord struct {
	State string `cbor:"state"`
	Tasks uint32 `cbor:"tasks"`
}

// The states of job records.
const (
	RecordLive      = "live"
	RecordDone      = "done"
	RecordCancelled = "aborted"
)
