package jobs

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// BitmapTag identifies a write of chunks of a job's bitmap of finished tasks.
type BitmapTag struct {
	Job    protocol.JobID
	chunks []int
}

// WriteBitmaps starts the writes of the changed bitmap chunks of the owned jobs, with one
// transaction for each job and for at most as many jobs per call as the site's TxnOps setting
// says. It skips a job whose bitmap is being written or has to be read first, and a job whose
// final record is about to be written, which deletes the bitmap. Without the lease it writes
// nothing.
func (o *Owned) WriteBitmaps() {
	if !o.HoldsLease() {
		return
	}
	written := 0
	for _, job := range ordered.ByKey(o.ByID) {
		if len(job.bitmap.dirty) == 0 || job.bitmap.writing || job.FinishDue || !job.Loaded || job.bitmap.rereadNeeded {
			continue
		}
		if written++; written > o.Settings.Site.State.TxnOps {
			return
		}
		o.writeBitmap(job)
	}
}

// writeBitmap starts the write of the changed chunks of a job's bitmap in one transaction. It
// fails if the view, the job's live record or a chunk has changed.
func (o *Owned) writeBitmap(job *Job) {
	tag := BitmapTag{Job: job.ID}
	txn := protocol.Transaction{Conditions: []protocol.Condition{
		{Key: record.ViewKey, Version: o.ViewVersion}, // rejects late writes of a former owner
		{Key: record.LiveKey(job.ID), Version: job.Version},
	}}
	for chunk := range ordered.ByKey(job.bitmap.dirty) {
		tag.chunks = append(tag.chunks, chunk)
		// The write is conditional on the chunk's version: an unanswered write may be
		// carried out after the next one, and would then clear the finished tasks that only
		// the next one contains.
		key, version := record.BitmapChunkKey(job.ID, chunk), job.bitmap.stored[chunk]
		txn.Conditions = append(txn.Conditions, protocol.Condition{Key: key, Version: version})
		job.bitmap.stored[chunk] = version // the chunk may exist in the records from now on
		txn.Changes = append(txn.Changes, protocol.Change{Put: key, Value: record.EncodeChunk(job.Done, chunk)})
	}
	clear(job.bitmap.dirty)
	job.bitmap.writing, job.bitmap.inFlight = true, tag.chunks
	o.Emit(message.Commit{Tag: tag, Transaction: txn})
}

// HandleBitmapWritten handles the outcome of a write of a job's bitmap. After a success it
// records at, the revision of the write, as the version of the written chunks. Otherwise the
// chunks are dirty again; after OutcomeUnknown or OutcomeFailed, which leave the stored
// versions uncertain, the bitmap is read again before the next write.
func (o *Owned) HandleBitmapWritten(tag BitmapTag, outcome message.Outcome, at protocol.Revision) {
	job := o.ByID[tag.Job]
	if job == nil {
		return
	}
	job.bitmap.writing, job.bitmap.inFlight = false, nil
	for _, chunk := range tag.chunks {
		if outcome == message.OutcomeDone {
			job.bitmap.stored[chunk] = protocol.Version(at)
		} else {
			job.bitmap.dirty[chunk] = true
		}
	}
	job.bitmap.rereadNeeded = outcome == message.OutcomeUnknown || outcome == message.OutcomeFailed
}

// requestBitmap requests a read of a job's bitmap.
func (o *Owned) requestBitmap(job *Job) {
	job.bitmap.loading = true
	o.Emit(message.LoadBitmap{Job: job.ID, Term: o.View.Term})
}

// HandleBitmapLoaded merges the stored bitmap of a job, as read from the records, into its
// state, and kills the attempts of tasks that the bitmap says are done. If the read failed,
// Retry repeats it. A read that was requested before the job was last taken over is ignored:
// an owner in between may have written finished tasks that it does not contain.
func (o *Owned) HandleBitmapLoaded(loaded message.BitmapLoaded) {
	job := o.ByID[loaded.Job]
	if job == nil || loaded.Term < job.adoptedTerm || job.Loaded && !job.bitmap.rereadNeeded {
		return
	}
	job.bitmap.loading = false
	if !loaded.OK {
		return // Retry requests it again
	}
	job.bitmap.rereadNeeded = false
	o.mergeChunks(job, loaded.Chunks)
	job.Loaded = true
	job.DoneCount = uint32(job.Done.Count())
	o.changes.Touch(job.ID)
	for id, attempt := range ordered.Tasks(job.Placed) {
		if job.Done.Test(uint(id.Index)) {
			o.SendStop(attempt, true, 0)
		}
	}
	o.finishIfDone(job)
	o.resolveUnverified()
}

// mergeChunks marks the tasks as done that are done in the stored chunks of a job's bitmap, and
// replaces the known chunk versions by those of the stored chunks. A chunk that can't be
// decoded is logged.
func (o *Owned) mergeChunks(job *Job, items []protocol.Item) {
	clear(job.bitmap.stored)
	for _, item := range items {
		if chunk, ok := record.ChunkNumber(item.Key); ok {
			job.bitmap.stored[chunk] = item.Version
		}
		var chunk record.BitmapChunk
		err := protocol.Decode(item.Value, &chunk)
		if err == nil {
			err = record.DecodeChunk(item.Key, chunk, job.Done, job.Tasks)
		}
		if err != nil {
			o.Log.Error("decoding a stored bitmap failed", "job", job.ID, "err", err)
		}
	}
}
