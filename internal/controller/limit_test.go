package controller

import (
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// TestLimitIsLeftToWhatWaits: what waits in machines' queues counts against its team's
// limit. A job of which nothing has begun for a while has a part of it left: else it
// waits beside machines with room for as long as others of its team fill the queues of
// those that have none.
func TestLimitIsLeftToWhatWaits(t *testing.T) {
	b := newBench(t, "node-1")
	id := b.keptBy("node-1")
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
	first, second := b.c.jobs.byID["job-1"], b.c.jobs.byID["job-2"]
	if len(first.placed) != 6 || len(second.placed) != 0 {
		t.Fatalf("%d and %d placed of a limit of 6", len(first.placed), len(second.placed))
	}
	end := func(i uint32) {
		ref := message.TaskRef{Task: protocol.TaskID{Job: "job-1", Index: i}, Attempt: first.placed[protocol.TaskID{Job: "job-1", Index: i}].number, Machine: id}
		b.c.jobs.taskEvent(message.TaskEvent{TaskRef: ref, What: message.EventEnded, Cause: protocol.EndDone})
		b.step(message.Tick{})
	}
	end(0)
	if len(second.placed) != 0 || len(first.placed) != 6 {
		t.Errorf("%d and %d placed: it has just come", len(first.placed), len(second.placed))
	}
	b.now += Time(keptWaiting)
	b.step(message.Tick{})
	end(1)
	if len(second.placed) != 1 || len(first.placed) != 5 {
		t.Errorf("%d and %d placed: nothing is left to a job that waits", len(first.placed), len(second.placed))
	}
	end(2)
	if len(first.placed) != 5 || len(second.placed) != 1 {
		t.Errorf("%d and %d placed: more than one task is kept", len(first.placed), len(second.placed))
	}
}
