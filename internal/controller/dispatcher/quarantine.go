package dispatcher

import (
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
)

// failingLookup reports whether a job fails wherever it runs, as its owner announces.
type failingLookup func(protocol.JobID) bool

// failedJobsToQuarantine is how many jobs have to fail on a machine in a row, none of
// them failing elsewhere as well, until the machine is quarantined.
const failedJobsToQuarantine = 2

// quarantine is whether a machine is quarantined, and what counts against it.
type quarantine struct {
	active bool
	// failedJobs are the jobs that failed here since a task last succeeded, and since when.
	failedJobs map[protocol.JobID]clock.Time
}

func newQuarantine() quarantine {
	return quarantine{failedJobs: map[protocol.JobID]clock.Time{}}
}

// forgetJob no longer counts a job's failures against the machine.
func (s *quarantine) forgetJob(id protocol.JobID) { delete(s.failedJobs, id) }

// failed counts a job's failure against the machine, from the first on.
func (s *quarantine) failed(id protocol.JobID, now clock.Time) {
	if _, noted := s.failedJobs[id]; !noted {
		s.failedJobs[id] = now
	}
}

// quarantineIfFailing quarantines a machine that fails what it starts, and takes it back
// where its failures turn out to be those of jobs that fail everywhere. It waits until
// the owners have had the time to announce such jobs: of two arrays with a mistake nearly
// every machine fails a task of each, and the whole fleet would be quarantined.
func (q *queue) quarantineIfFailing(fails failingLookup) {
	if len(q.quarantine.failedJobs) == 0 {
		return
	}
	count := 0
	for id, since := range q.quarantine.failedJobs {
		switch {
		case fails(id):
			q.quarantine.forgetJob(id)
		case q.Since(since) >= 2*q.Op.ReplicationInterval:
			count++
		}
	}
	q.setQuarantined(count >= failedJobsToQuarantine)
}

// setQuarantined begins or ends the machine's quarantine.
func (q *queue) setQuarantined(active bool) {
	if q.quarantine.active == active {
		return
	}
	q.quarantine.active = active
	q.touch()
	if !active {
		q.Log.Info("machine works again", "machine", q.id)
		return
	}
	q.Log.Info("machine set aside: it fails its tasks", "machine", q.id, "jobs", len(q.quarantine.failedJobs))
	q.releaseWaiting()
}

// recordResult notes the end of an attempt for or against the machine. What else waits
// here of a job that failed goes back to its owner, which places it elsewhere.
func (q *queue) recordResult(e *entry) {
	switch e.cause {
	case protocol.EndDone:
		clear(q.quarantine.failedJobs)
		q.setQuarantined(false)
	case protocol.EndError:
		q.quarantine.failed(e.task.Job, q.Now)
		q.releaseWhere(func(other *entry) bool { return other.task.Job == e.task.Job })
	}
}
