package jobs

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// BitmapTag identifies a write of chunks of a job's bitmap.
type BitmapTag struct {
	Job    protocol.JobID
	chunks []int
}

// WriteBitmaps writes the chunks that have changed, of a limited number of jobs at a time.
func (o *Owned) WriteBitmaps() {
	if !o.HoldsLease() {
		return
	}
	written := 0
	for _, job := range ordered.Of(o.ByID) {
		if len(job.bitmap.dirty) == 0 || job.bitmap.writing || job.FinishDue || !job.Loaded || job.bitmap.rereadNeeded {
			continue
		}
		if written++; written > o.Settings.Site.State.TxnOps {
			return
		}
		o.writeBitmap(job)
	}
}

// writeBitmap writes the chunks of a job that have changed.
func (o *Owned) writeBitmap(job *Job) {
	tag := BitmapTag{Job: job.ID}
	txn := protocol.Transaction{Conditions: []protocol.Condition{
		{Key: record.ViewKey, Version: o.ViewVersion}, // fences off the late writes of a former owner
		{Key: record.LiveKey(job.ID), Version: job.Version},
	}}
	for chunk := range ordered.Of(job.bitmap.dirty) {
		tag.chunks = append(tag.chunks, chunk)
		// Conditional on the chunk's version: a write without an answer may be carried
		// out after the next one, and would undo the ends that only that one has.
		key, version := record.BitmapChunkKey(job.ID, chunk), job.bitmap.stored[chunk]
		txn.Conditions = append(txn.Conditions, protocol.Condition{Key: key, Version: version})
		job.bitmap.stored[chunk] = version // it may be in the records from now on
		txn.Changes = append(txn.Changes, protocol.Change{Put: key, Value: record.EncodeChunk(job.Done, chunk)})
	}
	clear(job.bitmap.dirty)
	job.bitmap.writing, job.bitmap.inFlight = true, tag.chunks
	o.Emit(message.Commit{Tag: tag, Transaction: txn})
}

// HandleBitmapWritten handles the outcome of a write of a job's bitmap.
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

// requestBitmap asks for a job's bitmap to be read.
func (o *Owned) requestBitmap(job *Job) {
	job.bitmap.loading = true
	o.Emit(message.LoadBitmap{Job: job.ID})
}

// HandleBitmapLoaded merges a job's bitmap that was read from the records.
func (o *Owned) HandleBitmapLoaded(loaded message.BitmapLoaded) {
	job := o.ByID[loaded.Job]
	if job == nil || job.Loaded && !job.bitmap.rereadNeeded {
		return
	}
	job.bitmap.loading = false
	if !loaded.OK {
		return // Retry asks for it again
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

// mergeChunks adds the tasks that are done by the stored chunks of a job's bitmap, and
// takes over the chunks' versions.
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
