package controller

import (
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/placement"
	"damsonkeel/internal/protocol"
)

// TestQueuedTasksLeaveLimitToWaitingJob: tasks queued on machines count against their team's
// limit. A job of which nothing has been placed for a while has a part of the limit left to
// it: otherwise it waits beside machines with free resources for as long as other jobs of
// its team fill the queues of the others.
func TestQueuedTasksLeaveLimitToWaitingJob(t *testing.T) {
	b := newBench(t, "node-1")
	id := b.machineOf("node-1")
	team := b.limited(6)
	b.machine(id, 1) // four processors
	load := func(job protocol.JobID) {
		b.step(message.BitmapLoaded{Job: job, OK: true})
		b.step(message.Tick{})
	}
	b.job("job-1", team, 40)
	load("job-1")
	b.job("job-2", team, 2)
	load("job-2")
	first, second := b.c.jobs.ByID["job-1"], b.c.jobs.ByID["job-2"]
	if len(first.Placed) != 6 || len(second.Placed) != 0 {
		t.Fatalf("%d and %d placed of a limit of 6", len(first.Placed), len(second.Placed))
	}
	end := func(i uint32) {
		ref := message.TaskRef{Task: protocol.TaskID{Job: "job-1", Index: i}, Attempt: first.Placed[protocol.TaskID{Job: "job-1", Index: i}].Number, Machine: id}
		b.c.jobs.HandleTaskEvent(message.TaskEvent{TaskRef: ref, What: message.EventEnded, Cause: protocol.EndDone})
		b.step(message.Tick{})
	}
	end(0)
	if len(second.Placed) != 0 || len(first.Placed) != 6 {
		t.Errorf("%d and %d placed: the job has just been submitted", len(first.Placed), len(second.Placed))
	}
	b.now += Time(placement.LimitSharedAfter)
	b.step(message.Tick{})
	end(1)
	if len(second.Placed) != 1 || len(first.Placed) != 5 {
		t.Errorf("%d and %d placed: nothing of the limit is left to a waiting job", len(first.Placed), len(second.Placed))
	}
	end(2)
	if len(first.Placed) != 5 || len(second.Placed) != 1 {
		t.Errorf("%d and %d placed: more than one task's part of the limit is left", len(first.Placed), len(second.Placed))
	}
}
