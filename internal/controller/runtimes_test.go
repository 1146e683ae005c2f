package controller

import (
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// TestRunTimesIgnoreTasksRunningAtTakeover: a task that was already running when its job was
// taken over may have started long before, so its end does not tell the run time of tasks. When
// such tasks counted as short ones, all other tasks seemed late and their machines slow: 42
// machines were drained on a single day with restarts.
func TestRunTimesIgnoreTasksRunningAtTakeover(t *testing.T) {
	h := newHarness(t)
	h.registerMachine("vm-1", 1)
	h.acceptJob("job-1", "free", 20)
	h.adoptView(3, "node-0") // the core has missed a view
	h.step(message.BitmapLoaded{Job: "job-1", Term: h.core.View.Term, OK: true})
	var held []message.HeldAttempt
	for i := range uint32(12) {
		held = append(held, message.HeldAttempt{Task: protocol.TaskID{Job: "job-1", Index: i}, Attempt: 1, State: protocol.TaskRunning})
	}
	h.deliverInventory("vm-1", held...)
	job := h.core.jobs.ByID["job-1"]
	for _, attempt := range held {
		h.core.jobs.HandleTaskEvent(message.TaskEvent{TaskRef: message.TaskRef{Task: attempt.Task, Attempt: 1, Machine: "vm-1"}, What: message.EventEnded, Cause: protocol.EndDone})
	}
	if job.DoneCount != 12 {
		t.Fatalf("%d of 12 done", job.DoneCount)
	}
	if seconds, ok := job.MedianRunSeconds(); ok {
		t.Errorf("the median run time is %v s, want none", seconds)
	}
}
