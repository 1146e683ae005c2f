package jobs

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/protocol"
)

// progressOf is how far an owned job is.
func (oj *Owned) progressOf(o *Job) message.Progress {
	g := message.Progress{Job: o.ID, Done: o.DoneCount, Running: o.running, Failing: o.Failing}
	if oj.Reservations.Any {
		g.Level = int(o.Level) + 1
	}
	return g
}

// JobProgress is how far a live job is, as far as this controller knows.
func (oj *Owned) JobProgress(id protocol.JobID) (message.Progress, bool) {
	if o := oj.ByID[id]; o != nil {
		return oj.progressOf(o), true
	}
	if l := oj.Live[id]; l != nil {
		if p := oj.table.Peers[oj.OwnerOf(l)]; p != nil {
			g, ok := p.Progress[id]
			return g, ok
		}
	}
	return message.Progress{}, false
}

func (oj *Owned) FillUpdate(r *message.StateUpdate, to *replication.Cursor, most int) {
	ids, upto := oj.ownedChanges.Since(to.Next(), most)
	r.Jobs = replication.Range{Stream: uint64(oj.View.Term), From: to.Next(), Upto: upto}
	to.Sent(upto)
	for _, id := range ids {
		if o := oj.ByID[id]; o != nil {
			r.Progress = append(r.Progress, oj.progressOf(o))
		}
	}
}

// BeginStream begins a new term's stream of what changes, with all owned jobs as changed.
func (oj *Owned) BeginStream() {
	oj.ownedChanges = replication.Log[protocol.JobID]{}
	for id := range ordered.Of(oj.ByID) {
		oj.ownedChanges.Touch(id)
	}
}
