package clusterstate

import (
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/protocol"
)

const (
	// slowClock is how much longer a lease is by the slowest clock of a worker.
	slowClock = 1.002
	// answerMargin is how long an answer to a worker may be on its way.
	answerMargin = 5 * time.Second
)

// After returns the time some duration from now.
func (s *State) After(d time.Duration) clock.Time { return s.Now.Add(d) }

// Since returns how long ago a time was.
func (s *State) Since(t clock.Time) time.Duration { return s.Now.Since(t) }

// SubmissionTime returns when a job was submitted, by this process's clock.
func (s *State) SubmissionTime(job *protocol.Job) clock.Time {
	if s.WallMS == 0 || job.SubmittedMS == 0 {
		return s.Now
	}
	return min(s.Now, clock.Time(job.SubmittedMS-s.WallMS)*clock.Time(time.Millisecond))
}

// WallTime returns the time of day.
func (s *State) WallTime() reservation.Moment {
	return reservation.Moment(s.WallMS + s.nowMS())
}

// SetWallClock sets the time of day, if it is known. This is repeated, since monotonic
// clocks drift.
func (s *State) SetWallClock(wallMS int64) {
	if wallMS != 0 {
		s.WallMS = wallMS - s.nowMS()
	}
}

// nowMS returns the time of this process in milliseconds.
func (s *State) nowMS() int64 { return int64(s.Now / clock.Time(time.Millisecond)) }

// WorkerLeaseBound returns how long after the last possible answer a worker has surely
// killed its tasks: its lease by a clock that may be slow, and a margin for answers on
// their way.
func (s *State) WorkerLeaseBound() time.Duration {
	leaseS := s.Settings.Site.Workers.LeaseS
	return time.Duration(leaseS*slowClock*float64(time.Second)) + answerMargin
}
