package clusterstate

import (
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
)

const (
	// maxEndedJobs is the number of ended jobs in State.endedJobs above which those that ended
	// longer than endedRetention ago are deleted.
	maxEndedJobs   = 4096
	endedRetention = 10 * time.Minute
	// cancelledRetention is how long a cancelled job is remembered: far longer than a
	// controller may hold its lease without having observed the job's end.
	cancelledRetention = time.Minute
)

// MarkEnded records that a job was observed to end, so that HasEnded reports it for messages
// about the job that are still in transit. It also deletes the mark of MarkCancelled.
func (s *State) MarkEnded(id protocol.JobID) {
	s.endedJobs[id] = s.Now
	delete(s.cancelledJobs, id)
	if len(s.endedJobs) > maxEndedJobs {
		s.forgetOlderThan(s.endedJobs, endedRetention)
	}
}

// forgetOlderThan deletes the jobs from a map whose time in it is longer ago than an age.
func (s *State) forgetOlderThan(jobs map[protocol.JobID]clock.Time, age time.Duration) {
	for id, at := range jobs {
		if s.Since(at) > age {
			delete(jobs, id)
		}
	}
}

// HasEnded reports whether this controller has observed the end of a job in this session and
// still remembers it (see maxEndedJobs). It is false for a job that was not observed yet.
func (s *State) HasEnded(id protocol.JobID) bool {
	_, ended := s.EndedAt(id)
	return ended
}

// EndedAt returns when this controller observed the end of a job, if HasEnded is true for it.
func (s *State) EndedAt(id protocol.JobID) (at clock.Time, ended bool) {
	at, ended = s.endedJobs[id]
	return at, ended && s.Live[id] == nil
}

// MarkCancelled makes MayStart false for a job, so that no more of its tasks are started. It
// has no effect on a job that was observed to end.
//
// The cancellation is recorded, but this controller may not have observed the record yet,
// while the user is about to be notified. All other effects of the cancellation are delayed
// until the record is observed, so that they happen in the order of the records.
//
// The mark outlives the session: one that begins afterwards may have read its records before
// the cancellation.
func (s *State) MarkCancelled(id protocol.JobID) {
	if s.HasEnded(id) {
		return
	}
	s.cancelledJobs[id] = s.Now
	s.forgetOlderThan(s.cancelledJobs, cancelledRetention)
}

// MayStart reports whether tasks of a job may be started: the job is live and not marked as
// cancelled.
func (s *State) MayStart(id protocol.JobID) bool {
	_, cancelled := s.cancelledJobs[id]
	return s.Live[id] != nil && !cancelled
}
