package jobs

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

func (oj *Owned) markTaskDone(o *Job, i uint32) {
	o.Pending.Clear(uint(i))
	if o.Done.Test(uint(i)) {
		return
	}
	o.Done.Set(uint(i))
	o.DoneCount++
	oj.ownedChanges.Touch(o.ID)
	o.dirtyChunks[int(i)/record.ChunkTasks] = true
	oj.clearFailures(o)
}

// finishIfDone has a job's end written once all its tasks are done. It is told
// to nobody before that is durable.
func (oj *Owned) finishIfDone(o *Job) {
	if !o.Loaded || o.DoneCount < o.Tasks || o.FinishDue {
		return
	}
	o.FinishDue = true
	oj.writeFinish(o)
}

func (oj *Owned) writeFinish(o *Job) {
	if o.finishInFlight || !oj.HoldsLease() {
		return
	}
	o.finishInFlight = true
	txn := protocol.Transaction{
		Conditions: []protocol.Condition{{Key: record.LiveKey(o.ID), Version: o.Version}, {Key: record.JobKey(o.ID), Version: o.Version}},
		Changes: []protocol.Change{
			{Put: record.JobKey(o.ID), Value: record.JobRecord{State: record.RecordDone, Tasks: o.Tasks}},
			{Delete: record.LiveKey(o.ID)},
		},
	}
	for chunk := range ordered.Of(o.storedChunks) { // a short job has none: what is not there costs a change all the same
		txn.Changes = append(txn.Changes, protocol.Change{Delete: record.BitmapChunkKey(o.ID, chunk)})
	}
	oj.Emit(message.Commit{Tag: FinishTag{o.ID}, Txn: txn})
}

func (oj *Owned) FinishWritten(tag FinishTag, out message.Outcome) {
	o := oj.ByID[tag.Job]
	if o == nil {
		return
	}
	o.finishInFlight = out == message.OutcomeDone // otherwise again at a later tick; a conflict shows in the records
}

// WriteBitmaps writes the bitmaps that changed, a few at a time.
func (oj *Owned) WriteBitmaps() {
	if !oj.HoldsLease() {
		return
	}
	n := 0
	for _, o := range ordered.Of(oj.ByID) {
		if len(o.dirtyChunks) == 0 || o.writing || o.FinishDue || !o.Loaded || o.rereadNeeded {
			continue
		}
		if n++; n > oj.Settings.Site.State.TxnOps {
			return
		}
		tag := BitmapTag{Job: o.ID}
		txn := protocol.Transaction{Conditions: []protocol.Condition{
			{Key: record.ViewKey, Version: oj.ViewVersion}, // a former owner writes nothing late
			{Key: record.LiveKey(o.ID), Version: o.Version},
		}}
		for chunk := range ordered.Of(o.dirtyChunks) {
			tag.chunks = append(tag.chunks, chunk)
			// On its version: a write without an answer may be carried out after the
			// next one, and would take back the ends that only that one has.
			key, have := record.BitmapChunkKey(o.ID, chunk), o.storedChunks[chunk]
			txn.Conditions = append(txn.Conditions, protocol.Condition{Key: key, Version: have})
			o.storedChunks[chunk] = have // perhaps in the records from now on
			txn.Changes = append(txn.Changes, protocol.Change{Put: key, Value: record.EncodeChunk(o.Done, chunk)})
		}
		clear(o.dirtyChunks)
		o.writing, o.chunksInFlight = true, tag.chunks
		oj.Emit(message.Commit{Tag: tag, Txn: txn})
	}
}

func (oj *Owned) BitmapWritten(tag BitmapTag, out message.Outcome, at protocol.Revision) {
	o := oj.ByID[tag.Job]
	if o == nil {
		return
	}
	o.writing, o.chunksInFlight = false, nil
	for _, chunk := range tag.chunks {
		if out == message.OutcomeDone {
			o.storedChunks[chunk] = protocol.Version(at)
		} else {
			o.dirtyChunks[chunk] = true
		}
	}
	o.rereadNeeded = out == message.OutcomeUnknown || out == message.OutcomeFailed
}

type (
	FinishTag struct{ Job protocol.JobID }
	BitmapTag struct {
		Job    protocol.JobID
		chunks []int
	}
)
