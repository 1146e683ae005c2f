package clusterstate

import (
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
)

const (
	// maxEndedJobs is from how many on ended jobs are forgotten, once endedFor has
	// passed.
	maxEndedJobs = 4096
	endedFor     = 10 * time.Minute
	// cancelledFor is how long a cancelled job is remembered: far longer than a
	// controller may hold its lease without having observed the job's end.
	cancelledFor = time.Minute
)

// MarkEnded remembers that a job has ended, for messages about it that are still on their
// way.
func (s *State) MarkEnded(id protocol.JobID) {
	s.endedJobs[id] = s.Now
	delete(s.cancelledJobs, id)
	if len(s.endedJobs) > maxEndedJobs {
		s.forget(s.endedJobs, endedFor)
	}
}

// forget deletes the jobs that were marked longer ago than some time.
func (s *State) forget(jobs map[protocol.JobID]clock.Time, after time.Duration) {
	for id, at := range jobs {
		if s.Since(at) > after {
			delete(jobs, id)
		}
	}
}

// HasEnded reports whether a job is known to have ended, rather than not to have been
// observed yet.
func (s *State) HasEnded(id protocol.JobID) bool {
	_, ended := s.endedJobs[id]
	return ended && s.Live[id] == nil
}

// MarkCancelled prevents further starts of a job's tasks. Its user is about to be notified
// that it is cancelled, which is recorded, but may not have been observed yet. The rest of
// its cancellation waits for that, so that it happens in the order of the records.
func (s *State) MarkCancelled(id protocol.JobID) {
	if s.HasEnded(id) {
		return
	}
	s.cancelledJobs[id] = s.Now
	s.forget(s.cancelledJobs, cancelledFor)
}

// MayStart reports whether tasks of a job may be started: it is live, and not known to be
// cancelled.
func (s *State) MayStart(id protocol.JobID) bool {
	_, cancelled := s.cancelledJobs[id]
	return s.Live[id] != nil && !cancelled
}
