package jobs

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/protocol"
)

// MarkProgressChanged marks a job's progress as changed, so that it is replicated to the other
// members.
func (o *Owned) MarkProgressChanged(job *Job) { o.changes.Touch(job.ID) }

// progressOf returns the progress of an owned job: how many of its tasks are done and how many
// run, and whether it is failing. It includes the job's level, plus one, only while the
// calendar has reservations or maintenance windows.
func (o *Owned) progressOf(job *Job) message.Progress {
	progress := message.Progress{Job: job.ID, Done: job.DoneCount, Running: job.runningCount, Failing: job.Failing}
	if o.Reservations.HasEntries {
		progress.Level = int(job.Level) + 1
	}
	return progress
}

// JobProgress returns the progress of a live job: its present progress if this controller
// owns it, otherwise the progress last received from its owner, if any.
func (o *Owned) JobProgress(id protocol.JobID) (message.Progress, bool) {
	if job := o.ByID[id]; job != nil {
		return o.progressOf(job), true
	}
	if live := o.Live[id]; live != nil {
		if peer := o.table.Peers[o.OwnerOf(live)]; peer != nil {
			progress, ok := peer.Progress[id]
			return progress, ok
		}
	}
	return message.Progress{}, false
}

// FillUpdate adds the progress of the owned jobs that changed since the last state update for a
// peer, up to limit jobs, to the next update, and advances the peer's cursor, which holds the
// number of the last change that was sent to it.
func (o *Owned) FillUpdate(update *message.StateUpdate, cursor *replication.Cursor, limit int) {
	ids, upto := o.changes.Since(cursor.SentUpTo(), limit)
	update.Jobs = replication.Range{Stream: uint64(o.View.Term), From: cursor.SentUpTo(), Upto: upto}
	cursor.MarkSent(upto)
	for _, id := range ids {
		if job := o.ByID[id]; job != nil {
			update.Progress = append(update.Progress, o.progressOf(job))
		}
	}
}

// BeginProgressStream begins the change stream of a new term, with all owned jobs marked as
// changed, so that peers receive the progress of each of them again.
func (o *Owned) BeginProgressStream() {
	o.changes = replication.ChangeLog[protocol.JobID]{}
	for id := range ordered.ByKey(o.ByID) {
		o.changes.Touch(id)
	}
}
