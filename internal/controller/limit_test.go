package controller

import (
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/placement"
	"damsonkeel/internal/protocol"
)

// TestQueuedTasksLeavePartOfLimitToPendingJob: tasks that are queued on machines count against
// their team's limit. A part of the limit is reserved for a job of which no task has been
// placed for a while. Otherwise the job would stay pending, although machines have free
// resources, for as long as other jobs of its team fill the queues of other machines.
func TestQueuedTasksLeavePartOfLimitToPendingJob(t *testing.T) {
	h := newHarness(t, "node-1")
	id := h.machineDispatchedBy("node-1")
	team := h.useLimitedTeam(6)
	h.registerMachine(id, 1) // four processors
	loadBitmap := func(job protocol.JobID) {
		h.step(message.BitmapLoaded{Job: job, Term: h.core.View.Term, OK: true})
		h.step(message.Tick{})
	}
	h.acceptJob("job-1", team, 40)
	loadBitmap("job-1")
	h.acceptJob("job-2", team, 2)
	loadBitmap("job-2")
	first, second := h.core.jobs.ByID["job-1"], h.core.jobs.ByID["job-2"]
	if len(first.Placed) != 6 || len(second.Placed) != 0 {
		t.Fatalf("%d and %d placed of a limit of 6", len(first.Placed), len(second.Placed))
	}
	endTask := func(i uint32) {
		ref := message.TaskRef{Task: protocol.TaskID{Job: "job-1", Index: i}, Attempt: first.Placed[protocol.TaskID{Job: "job-1", Index: i}].Number, Machine: id}
		h.core.jobs.HandleTaskEvent(message.TaskEvent{TaskRef: ref, What: message.EventEnded, Cause: protocol.EndDone})
		h.step(message.Tick{})
	}
	endTask(0)
	if len(second.Placed) != 0 || len(first.Placed) != 6 {
		t.Errorf("%d and %d placed: the job has just been submitted", len(first.Placed), len(second.Placed))
	}
	h.now += Time(placement.LimitSharedAfter)
	h.step(message.Tick{})
	endTask(1)
	if len(second.Placed) != 1 || len(first.Placed) != 5 {
		t.Errorf("%d and %d placed: no part of the limit is reserved for the pending job", len(first.Placed), len(second.Placed))
	}
	endTask(2)
	if len(first.Placed) != 5 || len(second.Placed) != 1 {
		t.Errorf("%d and %d placed: more of the limit is reserved than for one task", len(first.Placed), len(second.Placed))
	}
}
