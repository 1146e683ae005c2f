package controller

import (
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// TestRunTimesIgnoreTasksRunningAtTakeover: a task that ran already when its job was taken
// over may have run for long, so its end says nothing of how long tasks run. When such tasks
// counted as short, all others seemed late and their machines slow: 42 machines were drained
// on one day with restarts.
func TestRunTimesIgnoreTasksRunningAtTakeover(t *testing.T) {
	b := newBench(t)
	b.machine("vm-1", 1)
	b.job("job-1", "free", 20)
	b.view(3, "node-0") // a view was missed
	b.step(message.BitmapLoaded{Job: "job-1", OK: true})
	var held []message.HeldAttempt
	for i := range uint32(12) {
		held = append(held, message.HeldAttempt{Task: protocol.TaskID{Job: "job-1", Index: i}, Attempt: 1, State: protocol.TaskRunning})
	}
	b.inventory("vm-1", held...)
	o := b.c.jobs.ByID["job-1"]
	for _, h := range held {
		b.c.jobs.HandleTaskEvent(message.TaskEvent{TaskRef: message.TaskRef{Task: h.Task, Attempt: 1, Machine: "vm-1"}, What: message.EventEnded, Cause: protocol.EndDone})
	}
	if o.DoneCount != 12 {
		t.Fatalf("%d of 12 done", o.DoneCount)
	}
	if s, ok := o.MedianRunSeconds(); ok {
		t.Errorf("tasks are expected to take %v s", s)
	}
}
