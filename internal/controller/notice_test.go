package controller

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/jobs"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// TestTerminationNoticeStopsWhatCannotFinish: of the tasks on a machine about to be
// terminated, those that can save a checkpoint are stopped, and of the rest those that can't
// finish by then; a task that may finish goes on.
func TestTerminationNoticeStopsWhatCannotFinish(t *testing.T) {
	for _, tc := range []struct {
		name        string
		checkpointS float64
		ranS        int
		stopped     bool
	}{
		{"saves", 5, 9, true},
		{"just begun", 0, 1, true},
		{"nearly done", 0, 9, false},
	} {
		b := newBench(t, "node-1")
		o := b.c.jobs.Adopt(&clusterstate.LiveJob{Job: protocol.Job{
			ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, EstimateS: 10, CheckpointS: tc.checkpointS,
		}})
		task := &jobs.Attempt{Task: protocol.TaskID{Job: "job-1"}, Number: 1, Machine: "vm-1", Estimate: 10}
		o.Placed[task.Task] = task
		ref := message.TaskRef{Task: task.Task, Attempt: 1, Machine: "vm-1"}
		b.c.jobs.TaskEvent(message.TaskEvent{TaskRef: ref, What: message.EventRunning})
		b.c.Now += Time(time.Duration(tc.ranS) * time.Second)
		b.c.jobs.TaskEvent(message.TaskEvent{TaskRef: ref, What: message.EventNotice, LeftS: 5})
		if task.Stopping != tc.stopped {
			t.Errorf("%s: stopped %v", tc.name, task.Stopping)
		}
	}
}
