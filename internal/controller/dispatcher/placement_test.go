package dispatcher

import (
	"testing"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// TestDelayedPlacementIsRefused checks that a placement of an earlier term or of an earlier
// record of the machine is not queued.
func TestDelayedPlacementIsRefused(t *testing.T) {
	f := newFixture(t)
	f.registerAndSendHeartbeat()
	epoch := f.dispatcher.Records["vm-1"].Epoch
	place := func(term protocol.Term, epoch protocol.Version) {
		f.dispatcher.QueuePlacements("node-0", &message.Place{Term: term, Tasks: []message.Placement{{Task: protocol.TaskID{Job: "job-9"}, Attempt: 1, Machine: "vm-1", Epoch: epoch}}})
	}
	place(0, epoch)
	place(1, epoch-1)
	if n := len(f.queue().entries); n != 0 {
		t.Fatalf("%d outdated placements queued, want 0", n)
	}
	place(1, epoch)
	if n := len(f.queue().entries); n != 1 {
		t.Fatalf("%d placements queued, want only the valid one", n)
	}
}

// TestAttemptOfEndedJobIsNotQueued checks that an attempt of an ended job is not queued.
func TestAttemptOfEndedJobIsNotQueued(t *testing.T) {
	f := newFixture(t)
	f.registerAndSendHeartbeat()
	f.addJob("job-1")
	delete(f.dispatcher.Live, "job-1")
	f.dispatcher.MarkEnded("job-1")
	f.dispatcher.JobEnded("job-1", false)
	f.dispatcher.QueuePlacements("node-0", &message.Place{Number: 6, Term: 1, Tasks: []message.Placement{{
		Task: protocol.TaskID{Job: "job-1"}, Attempt: 9, Machine: "vm-1", Epoch: f.dispatcher.Records["vm-1"].Epoch,
	}}})
	if n := len(f.queue().waiting); n != 0 {
		t.Fatalf("%d waiting, want 0: the attempt would block the head of the queue forever", n)
	}
}

// TestBlockedGangTaskIsRefused checks that a gang task is refused if an attempt that can't
// be stopped uses its resources, and that it is queued, and the other attempt stopped, if
// that can be stopped.
func TestBlockedGangTaskIsRefused(t *testing.T) {
	for _, tc := range []struct {
		runs    protocol.Priority
		refused bool
	}{{"high", true}, {"standard", false}} {
		f := newFixture(t)
		f.registerAndSendHeartbeat()
		q := f.queue()
		f.dispatcher.Live["job-1"] = &clusterstate.LiveJob{Job: protocol.Job{ID: "job-1", Team: "free", Priority: tc.runs, CPUs: 2, Tasks: 1}}
		f.dispatcher.Live["job-2"] = &clusterstate.LiveJob{Job: protocol.Job{ID: "job-2", Team: "free", Kind: protocol.KindGang, Priority: "high", CPUs: 4, Tasks: 2}}
		running := &entry{
			task: protocol.TaskID{Job: "job-1"}, attempt: 1, need: resource.Amount{CPUs: 2}, level: resource.LevelOf(tc.runs, false),
			sent: true, present: true, state: protocol.TaskRunning,
		}
		q.addEntry(running)
		f.dispatcher.QueuePlacements("node-0", &message.Place{Number: 1, Term: f.dispatcher.View.Term, Tasks: []message.Placement{{
			Task: protocol.TaskID{Job: "job-2"}, Attempt: 1, Machine: "vm-1", Epoch: q.recordVersion, CPUs: 4, Level: int(resource.LevelOf("high", false)), Together: true,
		}}})
		if refused := len(q.waiting) == 0; refused != tc.refused || running.kill == tc.refused {
			t.Errorf("behind priority %s: refused %v, other attempt stopped %v", tc.runs, refused, running.kill)
		}
	}
}

// TestUnexecutedStartIsRequeuedOrReleased checks that an attempt whose start was not
// executed is queued again, or released to its owner if the machine was drained meanwhile.
func TestUnexecutedStartIsRequeuedOrReleased(t *testing.T) {
	for _, drained := range []bool{false, true} {
		f := newFixture(t)
		f.registerAndSendHeartbeat()
		q := f.queue()
		e := &entry{task: protocol.TaskID{Job: "job-1"}, attempt: 1, sent: true}
		q.addEntry(e)
		f.dispatcher.Live["job-1"] = &clusterstate.LiveJob{Job: protocol.Job{ID: "job-1", Team: "free", Priority: "standard"}}
		if drained {
			f.dispatcher.DrainMachine("vm-1")
		}
		f.heartbeat(1, f.dispatcher.View.Term) // settles that the start was not executed
		if stillQueued := q.entries[e.task] != nil; stillQueued == drained {
			t.Errorf("drained %v: still queued %v", drained, stillQueued)
		}
	}
}
