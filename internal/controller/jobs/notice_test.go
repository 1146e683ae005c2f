package jobs

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
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
		ran         time.Duration
		stopped     bool
	}{
		{"saves checkpoints", 5, 9 * time.Second, true},
		{"just begun", 0, 1 * time.Second, true},
		{"nearly done", 0, 9 * time.Second, false},
	} {
		owned := newOwned(t)
		job := owned.Adopt(&clusterstate.LiveJob{Job: protocol.Job{
			ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, EstimateS: 10, CheckpointS: tc.checkpointS,
		}})
		ref := taskRef(0, "vm-1")
		attempt := start(owned, job, ref)
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
