package clusterstate

import (
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/protocol"
)

const (
	// slowClockFactor is how many times as long as nominal a lease can last by the slowest
	// clock of a worker.
	slowClockFactor = 1.002
	// answerMargin is the longest time that an answer to a worker's heartbeat may be in transit.
	answerMargin = 5 * time.Second
)

// After returns the time a duration from now.
func (s *State) After(d time.Duration) clock.Time { return s.Now.Add(d) }

// Since returns the duration from an earlier time until now.
func (s *State) Since(t clock.Time) time.Duration { return s.Now.Since(t) }

// SubmissionTime returns when a job was submitted, by this process's monotonic clock: negative
// if that was before the process started, and never later than now. It is now if the time of
// day or of the submission is unknown.
func (s *State) SubmissionTime(job *protocol.Job) clock.Time {
	if s.WallMS == 0 || job.SubmittedMS == 0 {
		return s.Now
	}
	return min(s.Now, clock.Time(job.SubmittedMS-s.WallMS)*clock.Time(time.Millisecond))
}

// WallTime returns the time of day now, in milliseconds of Unix time.
func (s *State) WallTime() reservation.Moment {
	return reservation.Moment(s.WallMS + s.nowMS())
}

// SetWallClock sets the time of day that corresponds to Now, in milliseconds of Unix time; 0 means
// that it is unknown and changes nothing. It is called repeatedly, since monotonic clocks drift.
func (s *State) SetWallClock(wallMS int64) {
	if wallMS != 0 {
		s.WallMS = wallMS - s.nowMS()
	}
}

// nowMS returns the time of this process's monotonic clock in milliseconds.
func (s *State) nowMS() int64 { return int64(s.Now / clock.Time(time.Millisecond)) }

// WorkerLeaseBound returns how long after the last possible answer to a worker's heartbeat the
// worker has certainly killed its tasks: the duration of the worker's lease by a clock that may
// be slow, plus a margin for answers in transit.
func (s *State) WorkerLeaseBound() time.Duration {
	leaseS := s.Settings.Site.Workers.LeaseS
	return time.Duration(leaseS*slowClockFactor*float64(time.Second)) + answerMargin
}
