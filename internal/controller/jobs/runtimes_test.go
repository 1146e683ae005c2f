package jobs

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/protocol"
)

// TestEstimateLearnsFromCompletedTasks: what a job's tasks took replaces the submitted
// estimate, but not while only its shortest tasks are done, and not by tasks that resumed
// from a checkpoint.
func TestEstimateLearnsFromCompletedTasks(t *testing.T) {
	owned := newOwned(t)
	job := owned.Adopt(&clusterstate.LiveJob{Job: protocol.Job{
		ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 20, CPUs: 1, EstimateS: 100,
	}})
	for i := range uint32(20) {
		start(owned, job, taskRef(i, "vm-1"))
	}
	for i := range uint32(20) {
		owned.Now += clock.Time(time.Second)
		if i == 9 && owned.EstimateOf(job) != 100 {
			t.Fatal("learned from the shortest tasks alone")
		}
		ref := taskRef(i, "vm-1")
		if i < 4 {
			end(owned, ref, protocol.EndStopped)
			start(owned, job, ref) // resumes from its checkpoint
		}
		end(owned, ref, protocol.EndDone)
	}
	if seconds := owned.EstimateOf(job); seconds < 12 || seconds > 14 {
		t.Errorf("estimate %v s, tasks took 5 to 20 s", seconds)
	}
}
