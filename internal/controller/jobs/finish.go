package jobs

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// FinishTag identifies the write of a job's final record.
type FinishTag struct{ Job protocol.JobID }

// markTaskDone records that a task is done, marks its chunk of the bitmap as dirty, and clears
// the job's failures. It does nothing for a task that is done already.
func (o *Owned) markTaskDone(job *Job, index uint32) {
	job.Pending.Clear(uint(index))
	if job.Done.Test(uint(index)) {
		return
	}
	job.Done.Set(uint(index))
	job.DoneCount++
	o.changes.Touch(job.ID)
	job.bitmap.dirty[int(index)/record.ChunkTasks] = true
	o.clearFailures(job)
}

// finishIfDone starts the write of a job's final record once the job's bitmap has been read and
// all its tasks are done. The end of the job is not announced before the write is durable.
func (o *Owned) finishIfDone(job *Job) {
	if !job.Loaded || job.DoneCount < job.Tasks || job.FinishDue {
		return
	}
	job.FinishDue = true
	o.writeFinish(job)
}

// writeFinish starts the transaction that writes a job's final record and deletes its live
// record and its bitmap. It does nothing without the lease, or if that transaction is in flight
// or has succeeded.
func (o *Owned) writeFinish(job *Job) {
	if job.finishInFlight || !o.HoldsLease() {
		return
	}
	job.finishInFlight = true
	o.Emit(message.Commit{Tag: FinishTag{job.ID}, Transaction: job.finishTransaction()})
}

// finishTransaction returns the transaction that records the job as done and deletes its live
// record and its stored bitmap. It fails if the job's records have changed.
func (j *Job) finishTransaction() protocol.Transaction {
	txn := protocol.Transaction{
		Conditions: []protocol.Condition{{Key: record.LiveKey(j.ID), Version: j.Version}, {Key: record.JobKey(j.ID), Version: j.Version}},
		Changes: []protocol.Change{
			{Put: record.JobKey(j.ID), Value: record.JobRecord{State: record.RecordDone, Tasks: j.Tasks}},
			{Delete: record.LiveKey(j.ID)},
		},
	}
	// Only chunks that may be stored are deleted, since each deletion uses one change of the
	// transaction. A short job has no stored chunks.
	for chunk := range ordered.ByKey(j.bitmap.stored) {
		txn.Changes = append(txn.Changes, protocol.Change{Delete: record.BitmapChunkKey(j.ID, chunk)})
	}
	return txn
}

// HandleFinishWritten handles the outcome of the write of a job's final record. If the write
// failed, Retry repeats it. After a conflict, the change of the records that caused it is
// handled when it is read.
func (o *Owned) HandleFinishWritten(tag FinishTag, outcome message.Outcome) {
	if job := o.ByID[tag.Job]; job != nil {
		job.finishInFlight = outcome == message.OutcomeDone
	}
}
