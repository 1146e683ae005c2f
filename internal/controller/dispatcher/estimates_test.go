package dispatcher

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// TestFoundTasksDoNotChangeEstimates checks that a task found on its machine, which may
// have run for long before, does not count for the estimate errors. Measured from the
// time it was found, estimates of half the actual run time seemed accurate, and reserved
// resources were still in use when the reservation began.
func TestFoundTasksDoNotChangeEstimates(t *testing.T) {
	f := newFixture(t)
	f.dispatcher.Reservations.HasEntries = true
	f.dispatcher.Live["job-1"] = &clusterstate.LiveJob{Job: protocol.Job{ID: "job-1", Class: "array"}}
	q := newQueue(f.dispatcher.environment, "vm-1", "a")
	recordEnds := func(arrival uint64, n int) {
		for range n {
			q.recordEstimateError(&entry{task: protocol.TaskID{Job: "job-1"}, arrival: arrival, runningSince: f.dispatcher.Now - clock.Time(10*time.Second), estimate: 10, cause: protocol.EndDone})
		}
	}
	usual := f.dispatcher.ExpectedRunSeconds(&protocol.Job{Class: "array"}, 10)
	if recordEnds(0, 100); f.dispatcher.ExpectedRunSeconds(&protocol.Job{Class: "array"}, 10) != usual {
		t.Error("tasks that were found on the machine changed the expected run time")
	}
	if recordEnds(7, 100); f.dispatcher.ExpectedRunSeconds(&protocol.Job{Class: "array"}, 10) >= usual {
		t.Error("tasks that were started here did not change the expected run time")
	}
}

// TestGuessedLevelIsReplaced checks that the guessed level of an attempt found on a machine
// is replaced by the level that the owner announces.
func TestGuessedLevelIsReplaced(t *testing.T) {
	f := newFixture(t)
	f.dispatcher.Reservations.HasEntries = true
	f.registerAndSendHeartbeat()
	e := &entry{task: protocol.TaskID{Job: "job-1"}, attempt: 3, level: resource.LevelOf("best_effort", true), levelGuessed: true, present: true, sent: true}
	q := f.queue()
	q.addEntry(e)
	q.adoptAnnouncedLevels(func(protocol.JobID) (resource.Level, bool) { return 0, true })
	if e.level != 0 || e.levelGuessed {
		t.Errorf("level is %d, want the announced level 0", e.level)
	}
}
