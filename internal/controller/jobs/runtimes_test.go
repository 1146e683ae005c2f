package jobs

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/protocol"
)

// TestEstimateLearnsFromCompletedTasks checks that the run times of a job's finished tasks
// replace the submitted estimate, but not while only the shortest tasks are done. Run times of
// tasks that resumed from a checkpoint are not used.
func TestEstimateLearnsFromCompletedTasks(t *testing.T) {
	owned := newOwned(t)
	job := owned.AdoptJob(&clusterstate.LiveJob{Job: protocol.Job{
		ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 20, CPUs: 1, EstimateS: 100,
	}})
	for i := range uint32(20) {
		startAttempt(owned, job, taskRef(i, "vm-1"))
	}
	for i := range uint32(20) {
		owned.Now += clock.Time(time.Second)
		if i == 9 && owned.EstimateRunSeconds(job) != 100 {
			t.Fatal("the estimate changed after only the shortest tasks were done")
		}
		ref := taskRef(i, "vm-1")
		if i < 4 {
			endAttempt(owned, ref, protocol.EndStopped)
			startAttempt(owned, job, ref) // resumes from its checkpoint
		}
		endAttempt(owned, ref, protocol.EndDone)
	}
	if seconds := owned.EstimateRunSeconds(job); seconds < 12 || seconds > 14 {
		t.Errorf("estimate %v s, tasks took 5 to 20 s", seconds)
	}
}
