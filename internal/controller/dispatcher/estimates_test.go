package dispatcher

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// TestFoundTasksDoNotChangeEstimates: a task that was found on its machine may
// have run for long before. Counted from then, estimates seemed good that were half of
// the truth, and reserved resources were in use at their time.
func TestFoundTasksDoNotChangeEstimates(t *testing.T) {
	b := newBench(t)
	b.dispatcher.Reservations.Any = true
	b.dispatcher.Live["job-1"] = &clusterstate.LiveJob{Job: protocol.Job{ID: "job-1", Class: "array"}}
	q := newQueue(b.dispatcher.environment, "vm-1", "a")
	end := func(order uint64, n int) {
		for range n {
			q.noteEstimateError(&entry{task: protocol.TaskID{Job: "job-1"}, arrival: order, runningSince: b.dispatcher.Now - clock.Time(10*time.Second), estimate: 10, cause: protocol.EndDone})
		}
	}
	usual := b.dispatcher.ExpectedRunSeconds(&protocol.Job{Class: "array"}, 10)
	if end(0, 100); b.dispatcher.ExpectedRunSeconds(&protocol.Job{Class: "array"}, 10) != usual {
		t.Error("learned from tasks that were found")
	}
	if end(7, 100); b.dispatcher.ExpectedRunSeconds(&protocol.Job{Class: "array"}, 10) >= usual {
		t.Error("not learned from tasks that were started here")
	}
}

// TestGuessedLevelIsReplaced: the owner announces the level of an attempt that was found
// on a machine.
func TestGuessedLevelIsReplaced(t *testing.T) {
	b := newBench(t)
	b.dispatcher.Reservations.Any = true
	b.ready()
	e := &entry{task: protocol.TaskID{Job: "job-1"}, attempt: 3, level: resource.LevelOf("best_effort", true), levelGuessed: true, present: true, sent: true}
	q := b.queue()
	q.addEntry(e)
	q.learnLevels(func(protocol.JobID) (resource.Level, bool) { return 0, true })
	if e.level != 0 || e.levelGuessed {
		t.Errorf("at level %d", e.level)
	}
}
