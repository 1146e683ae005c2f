package placement

import (
	"testing"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// TestGuaranteeCoversEarlierJobsFirst: a job is within its team's guarantee only if the
// guarantee covers it together with the team's earlier unfinished jobs.
func TestGuaranteeCoversEarlierJobsFirst(t *testing.T) {
	placer := newPlacer(t)
	// The team is guaranteed 8 processors: the first two jobs use all of them.
	for i, tasks := range []uint32{5, 3, 1} {
		id := protocol.JobID("job-" + string(rune('1'+i)))
		placer.jobs.AddAccepted(protocol.Job{
			ID: id, Team: "bound", Kind: protocol.KindJobArray, Priority: "standard", Tasks: tasks, CPUs: 1, MemoryGB: 1, EstimateS: 10,
			SubmittedMS: int64(i),
		}, protocol.Version(i+1), false)
	}
	placer.SetLevels()
	for id, within := range map[protocol.JobID]bool{"job-1": true, "job-2": true, "job-3": false} {
		if job := placer.jobs.ByID[id]; job.Level != resource.LevelOf(job.Priority, within) {
			t.Errorf("%s is at level %d", id, job.Level)
		}
	}
}
