package dispatcher

import (
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
)

// failingLookup reports whether a job fails on every machine, as announced by its owner.
type failingLookup func(protocol.JobID) bool

// failedJobsToQuarantine is the number of jobs that must fail on a machine, without a
// success of any task in between and without failing elsewhere as well, for the machine to
// be quarantined.
const failedJobsToQuarantine = 2

// quarantine holds whether a machine is quarantined and the failures counted against it.
type quarantine struct {
	active bool
	// failedJobs maps each job that has failed here since a task last succeeded to the time
	// of its first failure.
	failedJobs map[protocol.JobID]clock.Time
}

func newQuarantine() quarantine {
	return quarantine{failedJobs: map[protocol.JobID]clock.Time{}}
}

// forgetJob stops counting a job's failures against the machine.
func (s *quarantine) forgetJob(id protocol.JobID) { delete(s.failedJobs, id) }

// recordFailure records a job's failure against the machine. Only the time of the first
// failure is kept.
func (s *quarantine) recordFailure(id protocol.JobID, now clock.Time) {
	if _, recorded := s.failedJobs[id]; !recorded {
		s.failedJobs[id] = now
	}
}

// updateQuarantine quarantines a machine on which failedJobsToQuarantine jobs failed, and
// ends the quarantine if so many turn out to fail on every machine that fewer remain. A
// failure counts only after two replication intervals, in which the owners have had time to
// announce such jobs: if two arrays are faulty, nearly every machine fails a task of each,
// and all machines would be quarantined.
func (q *queue) updateQuarantine(isFailing failingLookup) {
	if len(q.quarantine.failedJobs) == 0 {
		return
	}
	count := 0
	for id, since := range q.quarantine.failedJobs {
		switch {
		case isFailing(id):
			q.quarantine.forgetJob(id)
		case q.Since(since) >= 2*q.Operator.ReplicationInterval:
			count++
		}
	}
	q.setQuarantined(count >= failedJobsToQuarantine)
}

// setQuarantined begins or ends the machine's quarantine. Its beginning releases all
// waiting attempts.
func (q *queue) setQuarantined(active bool) {
	if q.quarantine.active == active {
		return
	}
	q.quarantine.active = active
	q.markChanged()
	if !active {
		q.Log.Info("machine released from quarantine", "machine", q.id)
		return
	}
	q.Log.Info("machine quarantined: tasks of several jobs failed on it", "machine", q.id, "jobs", len(q.quarantine.failedJobs))
	q.releaseWaiting()
}

// recordResult counts the result of an ended attempt for the quarantine of the machine: a
// success clears all failures and ends the quarantine, and an error counts as a failure of
// the job. The other waiting attempts of a job that failed are released to the owner, which
// places them elsewhere.
func (q *queue) recordResult(e *entry) {
	switch e.cause {
	case protocol.EndDone:
		clear(q.quarantine.failedJobs)
		q.setQuarantined(false)
	case protocol.EndError:
		q.quarantine.recordFailure(e.task.Job, q.Now)
		q.releaseWhere(func(other *entry) bool { return other.task.Job == e.task.Job })
	}
}
