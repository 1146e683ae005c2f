package controller

import (
	"testing"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// TestGuaranteeCoversEarlierJobsFirst: a job is within its team's guarantee together with the
// team's earlier unfinished jobs only.
func TestGuaranteeCoversEarlierJobsFirst(t *testing.T) {
	b := newBench(t)
	for i, tasks := range []uint32{5, 3, 1} {
		id := protocol.JobID("job-" + string(rune('1'+i)))
		b.job(id, "bound", tasks) // guaranteed 8 processors
		b.c.jobs.ByID[id].SubmittedMS = int64(i)
	}
	b.c.placer.SetLevels()
	for id, within := range map[protocol.JobID]bool{"job-1": true, "job-2": true, "job-3": false} {
		if o := b.c.jobs.ByID[id]; o.Level != resource.LevelOf(o.Priority, within) {
			t.Errorf("%s is at level %d", id, o.Level)
		}
	}
}
