package dispatcher

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/protocol"
)

// TestQueueIsOrderedByDeadline: in a queue, what can still be done by its deadline goes
// before what is late.
func TestQueueIsOrderedByDeadline(t *testing.T) {
	b := newBench(t)
	job := func(id protocol.JobID, deadline float64) *entry {
		l := &clusterstate.LiveJob{Job: protocol.Job{ID: id, Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, EstimateS: 10, DeadlineS: deadline}, Since: b.dispatcher.Now}
		l.Deadline = b.dispatcher.Deadline(l)
		b.dispatcher.Live[id] = l
		return &entry{task: protocol.TaskID{Job: id}, level: 1}
	}
	q := b.dispatcher.addQueue("vm-1", "a")
	late, soon := job("job-1", 20), job("job-2", 60)
	q.enqueue(soon)
	q.enqueue(late)
	if q.sortWaiting(); q.waiting[0] != late {
		t.Fatal("what is due first does not go first")
	}
	b.dispatcher.Now += clock.Time(35 * time.Second)
	for _, l := range b.dispatcher.Live {
		l.Deadline = b.dispatcher.Deadline(l)
	}
	b.dispatcher.InvalidateOrder()
	if q.sortWaiting(); q.waiting[0] != soon {
		t.Error("what is late anyway goes before what is not")
	}
}
