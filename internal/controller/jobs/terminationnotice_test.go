package jobs

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// TestTerminationNoticeStopsTasksThatCannotFinish checks which tasks are stopped on a machine
// that is about to be terminated: tasks that can save a checkpoint, and other tasks that
// can't finish before the termination. A task that may finish in time keeps running.
func TestTerminationNoticeStopsTasksThatCannotFinish(t *testing.T) {
	for _, tc := range []struct {
		name        string
		checkpointS float64
		ran         time.Duration
		stopped     bool
	}{
		{"saves checkpoints", 5, 9 * time.Second, true},
		{"just begun", 0, 1 * time.Second, true},
		{"nearly done", 0, 9 * time.Second, false},
	} {
		owned := newOwned(t)
		job := owned.AdoptJob(&clusterstate.LiveJob{Job: protocol.Job{
			ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, EstimateS: 10, CheckpointS: tc.checkpointS,
		}})
		ref := taskRef(0, "vm-1")
		attempt := startAttempt(owned, job, ref)
		if attempt.Estimate != 10 {
			t.Fatalf("%s: estimate %v s, want 10", tc.name, attempt.Estimate)
		}
		owned.Now += clock.Time(tc.ran)
		owned.HandleTaskEvent(message.TaskEvent{TaskRef: ref, What: message.EventNotice, LeftS: 5})
		if attempt.Stopping != tc.stopped {
			t.Errorf("%s: stopped %v", tc.name, attempt.Stopping)
		}
	}
}
