package jobs

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/protocol"
)

// Touch has a job's progress replicated to the other members again.
func (o *Owned) Touch(job *Job) { o.changes.Touch(job.ID) }

// progressOf returns the progress of an owned job.
func (o *Owned) progressOf(job *Job) message.Progress {
	progress := message.Progress{Job: job.ID, Done: job.DoneCount, Running: job.running, Failing: job.Failing}
	if o.Reservations.Any {
		progress.Level = int(job.Level) + 1
	}
	return progress
}

// JobProgress returns the progress of a live job, as far as this controller knows it.
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

// FillUpdate adds to an update for a peer the progress of jobs that changed since the last
// one, at most so many, and advances the peer's cursor.
func (o *Owned) FillUpdate(update *message.StateUpdate, to *replication.Cursor, most int) {
	ids, upto := o.changes.Since(to.Next(), most)
	update.Jobs = replication.Range{Stream: uint64(o.View.Term), From: to.Next(), Upto: upto}
	to.Sent(upto)
	for _, id := range ids {
		if job := o.ByID[id]; job != nil {
			update.Progress = append(update.Progress, o.progressOf(job))
		}
	}
}

// BeginStream begins the stream of changes of a new term, with all owned jobs as changed.
func (o *Owned) BeginStream() {
	o.changes = replication.ChangeLog[protocol.JobID]{}
	for id := range ordered.Of(o.ByID) {
		o.changes.Touch(id)
	}
}
