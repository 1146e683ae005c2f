package dispatcher

import (
	"testing"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// TestDelayedPlacementIsRefused: a placement of an earlier term or of a machine's earlier
// record starts nothing.
func TestDelayedPlacementIsRefused(t *testing.T) {
	b := newBench(t)
	b.ready()
	epoch := b.dispatcher.Records["vm-1"].Epoch
	place := func(term protocol.Term, epoch protocol.Version) {
		b.dispatcher.Place("node-0", &message.Place{Term: term, Tasks: []message.Placement{{Task: protocol.TaskID{Job: "job-9"}, Attempt: 1, Machine: "vm-1", Epoch: epoch}}})
	}
	place(0, epoch)
	place(1, epoch-1)
	if n := len(b.queue().entries); n != 0 {
		t.Fatalf("%d queued", n)
	}
	place(1, epoch)
	if n := len(b.queue().entries); n != 1 {
		t.Fatalf("%d queued, want the valid one", n)
	}
}

// TestAttemptOfEndedJobIsNotQueued: an attempt of a job that is over is not queued.
func TestAttemptOfEndedJobIsNotQueued(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.job("job-1")
	delete(b.dispatcher.Live, "job-1")
	b.dispatcher.MarkEnded("job-1")
	b.dispatcher.JobEnded("job-1", false)
	b.dispatcher.Place("node-0", &message.Place{Number: 6, Term: 1, Tasks: []message.Placement{{
		Task: protocol.TaskID{Job: "job-1"}, Attempt: 9, Machine: "vm-1", Epoch: b.dispatcher.Records["vm-1"].Epoch,
	}}})
	if n := len(b.queue().waiting); n != 0 {
		t.Fatalf("%d waiting: it would stand at the head for ever", n)
	}
}

// TestBlockedGangTaskIsRefused: a task whose gang waits for it is not queued behind what
// can't be stopped for it; behind what can, that is stopped.
func TestBlockedGangTaskIsRefused(t *testing.T) {
	for _, tc := range []struct {
		runs    protocol.Priority
		refused bool
	}{{"high", true}, {"standard", false}} {
		b := newBench(t)
		b.ready()
		q := b.queue()
		b.dispatcher.Live["job-1"] = &clusterstate.LiveJob{Job: protocol.Job{ID: "job-1", Team: "free", Priority: tc.runs, CPUs: 2, Tasks: 1}}
		b.dispatcher.Live["job-2"] = &clusterstate.LiveJob{Job: protocol.Job{ID: "job-2", Team: "free", Kind: protocol.KindGang, Priority: "high", CPUs: 4, Tasks: 2}}
		runs := &entry{
			task: protocol.TaskID{Job: "job-1"}, attempt: 1, need: resource.Amount{CPUs: 2}, level: resource.LevelOf(tc.runs, false),
			sent: true, present: true, state: protocol.TaskRunning,
		}
		q.addEntry(runs)
		b.dispatcher.Place("node-0", &message.Place{Number: 1, Term: b.dispatcher.View.Term, Tasks: []message.Placement{{
			Task: protocol.TaskID{Job: "job-2"}, Attempt: 1, Machine: "vm-1", Epoch: q.recordVersion, CPUs: 4, Level: int(resource.LevelOf("high", false)), Together: true,
		}}})
		if refused := len(q.waiting) == 0; refused != tc.refused || runs.kill == tc.refused {
			t.Errorf("behind %s: refused %v, other stopped %v", tc.runs, refused, runs.kill)
		}
	}
}

// TestUnexecutedStartIsRequeuedOrReleased: a start that was not executed goes back
// to the queue, but on a machine that is drained meanwhile to its owner.
func TestUnexecutedStartIsRequeuedOrReleased(t *testing.T) {
	for _, drained := range []bool{false, true} {
		b := newBench(t)
		b.ready()
		q := b.queue()
		e := &entry{task: protocol.TaskID{Job: "job-1"}, attempt: 1, sent: true}
		q.addEntry(e)
		b.dispatcher.Live["job-1"] = &clusterstate.LiveJob{Job: protocol.Job{ID: "job-1", Team: "free", Priority: "standard"}}
		if drained {
			b.dispatcher.Drain("vm-1")
		}
		b.heartbeat(1, b.dispatcher.View.Term) // settles that the start was not executed
		if left := q.entries[e.task] != nil; left == drained {
			t.Errorf("drained %v: still there %v", drained, left)
		}
	}
}
