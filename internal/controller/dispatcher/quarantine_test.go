package dispatcher

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
)

// TestWaitingAttemptsOfFailedJobAreReleased checks that when a task of a job fails, the
// other waiting attempts of the job are released to the owner.
func TestWaitingAttemptsOfFailedJobAreReleased(t *testing.T) {
	f := newFixture(t)
	f.registerAndSendHeartbeat()
	q := f.queue()
	for i := range uint32(3) {
		e := &entry{task: protocol.TaskID{Job: "job-1", Index: i}, attempt: 1}
		q.addEntry(e)
		q.waiting = append(q.waiting, e)
	}
	q.recordResult(&entry{task: protocol.TaskID{Job: "job-2"}, cause: protocol.EndDone})
	if len(q.waiting) != 3 {
		t.Fatal("released after the success of another job")
	}
	q.recordResult(&entry{task: protocol.TaskID{Job: "job-1", Index: 7}, cause: protocol.EndError})
	if len(q.waiting) != 0 {
		t.Errorf("%d attempts of the failed job still wait, want 0", len(q.waiting))
	}
}

// TestFailingMachineIsQuarantined checks that a machine is quarantined for the failures of
// two jobs but not of one, and not for jobs that fail on every machine, as their owners
// announce a moment later. The quarantine ends when the machine turns out to be healthy.
func TestFailingMachineIsQuarantined(t *testing.T) {
	f := newFixture(t)
	f.registerAndSendHeartbeat()
	q := f.queue()
	failingJobs := map[protocol.JobID]bool{}
	fail := func(job protocol.JobID, after time.Duration) {
		q.recordResult(&entry{task: protocol.TaskID{Job: job}, cause: protocol.EndError})
		q.updateQuarantine(func(id protocol.JobID) bool { return failingJobs[id] })
		f.dispatcher.Now += clock.Time(after)
		q.updateQuarantine(func(id protocol.JobID) bool { return failingJobs[id] })
	}
	if fail("job-1", 10*time.Second); q.quarantine.active {
		t.Error("quarantined for one job's failures")
	}
	if fail("job-2", time.Second); q.quarantine.active {
		t.Error("quarantined before the job's owner could announce that the job fails everywhere")
	}
	failingJobs["job-2"] = true
	if fail("job-2", 10*time.Second); q.quarantine.active {
		t.Error("quarantined for a job that fails everywhere")
	}
	if fail("job-3", 10*time.Second); !q.quarantine.active {
		t.Error("not quarantined after the failures of two jobs")
	}
	failingJobs["job-3"] = true
	if fail("job-3", time.Second); q.quarantine.active {
		t.Error("quarantine did not end when a counted job turned out to fail everywhere")
	}
}
