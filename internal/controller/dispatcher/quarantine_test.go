package dispatcher

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
)

// TestFailingJobLeavesMachine: when a job's task fails, what waits there of the same job
// goes back to its owner.
func TestFailingJobLeavesMachine(t *testing.T) {
	b := newBench(t)
	b.ready()
	q := b.queue()
	for i := range uint32(3) {
		e := &entry{task: protocol.TaskID{Job: "job-1", Index: i}, attempt: 1}
		q.addEntry(e)
		q.waiting = append(q.waiting, e)
	}
	q.recordResult(&entry{task: protocol.TaskID{Job: "job-2"}, cause: protocol.EndDone})
	if len(q.waiting) != 3 {
		t.Fatal("released for another job's success")
	}
	q.recordResult(&entry{task: protocol.TaskID{Job: "job-1", Index: 7}, cause: protocol.EndError})
	if len(q.waiting) != 0 {
		t.Errorf("%d still wait", len(q.waiting))
	}
}

// TestFailingMachineIsQuarantined: one job's failures do not quarantine a machine, those
// of two do, unless these fail wherever they run, as their owners announce a moment later.
// One that turns out to be healthy is taken back.
func TestFailingMachineIsQuarantined(t *testing.T) {
	b := newBench(t)
	b.ready()
	q := b.queue()
	mistakes := map[protocol.JobID]bool{}
	fail := func(job protocol.JobID, after time.Duration) {
		q.recordResult(&entry{task: protocol.TaskID{Job: job}, cause: protocol.EndError})
		q.quarantineIfFailing(func(id protocol.JobID) bool { return mistakes[id] })
		b.dispatcher.Now += clock.Time(after)
		q.quarantineIfFailing(func(id protocol.JobID) bool { return mistakes[id] })
	}
	if fail("job-1", 10*time.Second); q.quarantine.active {
		t.Error("quarantined for one job's failures")
	}
	if fail("job-2", time.Second); q.quarantine.active {
		t.Error("quarantined before the job's owner could say anything")
	}
	mistakes["job-2"] = true
	if fail("job-2", 10*time.Second); q.quarantine.active {
		t.Error("quarantined for a job that fails everywhere")
	}
	if fail("job-3", 10*time.Second); !q.quarantine.active {
		t.Error("a machine that fails two jobs is not quarantined")
	}
	mistakes["job-3"] = true
	if fail("job-3", time.Second); q.quarantine.active {
		t.Error("not taken back")
	}
}
