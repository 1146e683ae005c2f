package controller

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/jobs"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// TestEstimateLearnsFromCompletedTasks: what a job's tasks took replaces the submitted
// estimate, but not while only its shortest tasks are done, and not by tasks that resumed
// from a checkpoint.
func TestEstimateLearnsFromCompletedTasks(t *testing.T) {
	b := newBench(t, "node-1")
	o := b.c.jobs.Adopt(&clusterstate.LiveJob{Job: protocol.Job{ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 20, CPUs: 1, EstimateS: 100}})
	start := func(i uint32) {
		p := &jobs.Attempt{Task: protocol.TaskID{Job: "job-1", Index: i}, Number: 1, Machine: "vm-1"}
		o.Placed[p.Task] = p
		b.c.jobs.TaskEvent(message.TaskEvent{TaskRef: message.TaskRef{Task: p.Task, Attempt: 1, Machine: "vm-1"}, What: message.EventRunning})
	}
	end := func(i uint32, cause protocol.EndCause) {
		b.c.jobs.TaskEvent(message.TaskEvent{TaskRef: message.TaskRef{Task: protocol.TaskID{Job: "job-1", Index: i}, Attempt: 1, Machine: "vm-1"}, What: message.EventEnded, Cause: cause})
	}
	for i := range uint32(20) {
		start(i)
	}
	for i := range uint32(20) {
		b.c.Now += Time(time.Second)
		if i == 9 && b.c.jobs.EstimateOf(o) != 100 {
			t.Fatal("learned from the shortest tasks alone")
		}
		if i < 4 {
			end(i, protocol.EndStopped)
			start(i) // resumes from its checkpoint
			end(i, protocol.EndDone)
			continue
		}
		end(i, protocol.EndDone)
	}
	if s := b.c.jobs.EstimateOf(o); s < 12 || s > 14 {
		t.Errorf("estimate %v s, tasks took 5 to 20 s", s)
	}
}

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
		b.c.jobs.TaskEvent(message.TaskEvent{TaskRef: message.TaskRef{Task: h.Task, Attempt: 1, Machine: "vm-1"}, What: message.EventEnded, Cause: protocol.EndDone})
	}
	if o.DoneCount != 12 {
		t.Fatalf("%d of 12 done", o.DoneCount)
	}
	if s, ok := o.UsualSeconds(); ok {
		t.Errorf("tasks are expected to take %v s", s)
	}
}
