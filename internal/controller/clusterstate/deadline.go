package clusterstate

import (
	"math"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
)

const (
	// noDeadlineS is after how many seconds a job without a deadline or objective should
	// be finished: later than jobs that are expected sooner, but before all those that
	// are still to come.
	noDeadlineS = 600.0
	// minEstimateS is the shortest run time assumed, in seconds: rates are divided by it.
	minEstimateS = 0.001
)

// Kinds of objectives.
const (
	objectiveWait     = "wait"
	objectiveFinished = "finished"
	objectiveDeadline = "deadline"
)

// ObjectiveTimes returns the times, in seconds after its submission, by which a job should
// be finished: its deadline and the objectives of its class, in any order.
func (s *State) ObjectiveTimes(job *protocol.Job) []float64 {
	var times []float64
	if job.DeadlineS > 0 {
		times = append(times, job.DeadlineS)
	}
	for _, o := range s.Objectives() {
		switch {
		case o.Class != job.Class:
		case o.Kind == objectiveFinished && o.WithinS > 0:
			times = append(times, o.WithinS)
		case o.Kind == objectiveDeadline && job.DeadlineS > 0 && o.Times > 0:
			times = append(times, job.DeadlineS*o.Times)
		}
	}
	return times
}

// Deadline returns the time by which jobs of a level are ordered.
func (s *State) Deadline(job *LiveJob) clock.Time {
	if s.HasStartObjective(&job.Job) {
		return job.Since // the job that has waited longest for its start goes first
	}
	return s.FinishBy(job)
}

// FinishBy returns when a job should be finished: the first of its times that can still be
// met. A job that can meet none any more makes way for those that can, but not for ever:
// its last time is doubled until it can be met.
func (s *State) FinishBy(job *LiveJob) clock.Time {
	age := s.Since(job.Since).Seconds()
	first, last := math.Inf(1), 0.0
	times := s.ObjectiveTimes(&job.Job)
	if len(times) == 0 {
		times = []float64{noDeadlineS}
	}
	for _, by := range times {
		if by >= age+s.Estimate(&job.Job) {
			first = math.Min(first, by)
		}
		last = math.Max(last, by)
	}
	for math.IsInf(first, 1) {
		last *= 2
		if last >= age+s.Estimate(&job.Job) {
			first = last
		}
	}
	return job.Since + clock.Time(first*float64(time.Second))
}

// HasStartObjective reports whether jobs of a job's class should start within some time.
func (s *State) HasStartObjective(job *protocol.Job) bool {
	for _, o := range s.Objectives() {
		if o.Kind == objectiveWait && o.Class == job.Class {
			return true
		}
	}
	return false
}

// Estimate returns the expected run time of a task in seconds: the owner's estimate, or
// the default.
func (s *State) Estimate(job *protocol.Job) float64 {
	if job.EstimateS > 0 {
		return max(job.EstimateS, minEstimateS)
	}
	return s.Op.DefaultEstimate.Seconds()
}

// ExpectedRunSeconds returns how long a task is very likely to run at the most, in seconds.
func (s *State) ExpectedRunSeconds(job *protocol.Job, estimateS float64) float64 {
	return estimateS * s.Reservations.Errors[job.Class].Factor()
}
