package dispatcher

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/protocol"
)

// TestQueueIsOrderedByDeadline checks that an attempt that can still finish by its deadline
// is sorted before one that is late.
func TestQueueIsOrderedByDeadline(t *testing.T) {
	f := newFixture(t)
	job := func(id protocol.JobID, deadline float64) *entry {
		live := &clusterstate.LiveJob{Job: protocol.Job{ID: id, Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, EstimateS: 10, DeadlineS: deadline}, SubmittedAt: f.dispatcher.Now}
		live.Deadline = f.dispatcher.Deadline(live)
		f.dispatcher.Live[id] = live
		return &entry{task: protocol.TaskID{Job: id}, level: 1}
	}
	q := f.dispatcher.addQueue("vm-1", "a")
	earlier, later := job("job-1", 20), job("job-2", 60)
	q.enqueue(later)
	q.enqueue(earlier)
	if q.sortWaiting(); q.waiting[0] != earlier {
		t.Fatal("the attempt with the earliest deadline is not first")
	}
	f.dispatcher.Now += clock.Time(35 * time.Second)
	for _, live := range f.dispatcher.Live {
		live.Deadline = f.dispatcher.Deadline(live)
	}
	f.dispatcher.InvalidateQueueOrder()
	if q.sortWaiting(); q.waiting[0] != later {
		t.Error("a late attempt is sorted before one that can still meet its deadline")
	}
}
