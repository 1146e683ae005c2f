package clusterstate

import (
	"math"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
)

const (
	// noDeadlineS is the time, in seconds after its submission, by which a job without a
	// deadline or objective should be finished, for its place in the order of jobs. It is
	// later than that of jobs expected sooner, but early enough that jobs submitted later are
	// not all ordered first.
	noDeadlineS = 600.0
	// minEstimateS is the minimum run time assumed, in seconds, since rates are divided by
	// the run time.
	minEstimateS = 0.001
)

// Kinds of objectives, as the settings name them.
const (
	objectiveWait     = "wait"     // jobs start within a time
	objectiveFinished = "finished" // jobs are finished within a time
	objectiveDeadline = "deadline" // jobs are finished within a multiple of their deadlines
)

// ObjectiveTimes returns the times, in seconds after its submission, by which a job should
// be finished: its deadline and those that the objectives of its class set, in any order. It
// returns none for a job with neither.
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

// Deadline returns the time by which a job is ordered among the jobs of its level, the
// earliest first: its submission if its class has an objective for the start of jobs, else
// the time when it should be finished.
func (s *State) Deadline(job *LiveJob) clock.Time {
	if s.HasStartObjective(&job.Job) {
		return job.SubmittedAt // the job that has waited longest for its start is first
	}
	return s.FinishBy(job)
}

// FinishBy returns when a job should be finished: the earliest of its objective times that
// it can still meet. A job that can't meet any of them is ordered after jobs that can, but
// does not starve: its latest time is doubled until the job can meet it.
func (s *State) FinishBy(job *LiveJob) clock.Time {
	age := s.Since(job.SubmittedAt).Seconds()
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
	return job.SubmittedAt + clock.Time(first*float64(time.Second))
}

// HasStartObjective reports whether the class of a job has an objective for the time until
// its jobs start.
func (s *State) HasStartObjective(job *protocol.Job) bool {
	for _, o := range s.Objectives() {
		if o.Kind == objectiveWait && o.Class == job.Class {
			return true
		}
	}
	return false
}

// Estimate returns the expected run time of a task of a job in seconds: the estimate in the
// job, or the default.
func (s *State) Estimate(job *protocol.Job) float64 {
	if job.EstimateS > 0 {
		return max(job.EstimateS, minEstimateS)
	}
	return s.Operator.DefaultEstimate.Seconds()
}

// ExpectedRunSeconds returns the run time, in seconds, that a task very likely does not
// exceed: estimateS times a factor, at least 1, that follows from the estimation errors observed
// in the job's class.
func (s *State) ExpectedRunSeconds(job *protocol.Job, estimateS float64) float64 {
	return estimateS * s.Reservations.Errors[job.Class].Factor()
}
