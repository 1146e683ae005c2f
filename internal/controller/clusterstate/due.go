package clusterstate

import (
	"math"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
)

// noDeadline is when a job should be done of which nobody says when: after
// what is expected sooner, but not after all that is still to come.
const noDeadline = 600.0

// ObjectiveTimes are the times, in seconds after its submission, by which a job
// should be done: its deadline and its class's objectives, in any order.
func (k *State) ObjectiveTimes(j *protocol.Job) []float64 {
	var by []float64
	if j.DeadlineS > 0 {
		by = append(by, j.DeadlineS)
	}
	for _, o := range k.Objectives() {
		switch {
		case o.Class != j.Class:
		case o.Kind == "finished" && o.WithinS > 0:
			by = append(by, o.WithinS)
		case o.Kind == "deadline" && j.DeadlineS > 0 && o.Times > 0:
			by = append(by, j.DeadlineS*o.Times)
		}
	}
	return by
}

// Deadline is what jobs of a level are ordered by: when they should be done.
func (k *State) Deadline(l *LiveJob) clock.Time {
	if k.HasStartObjective(&l.Job) {
		return l.Since // whoever waits longest for a start goes first
	}
	return k.FinishBy(l)
}

// FinishBy is when a job should be done: the first of its times that can still be
// classReserve. What can keep none any more makes way for what can, but not for ever:
// it is due again when as long has passed once more, and so on.
func (k *State) FinishBy(l *LiveJob) clock.Time {
	age := k.Since(l.Since).Seconds()
	first, last := math.Inf(1), 0.0
	times := k.ObjectiveTimes(&l.Job)
	if len(times) == 0 {
		times = []float64{noDeadline}
	}
	for _, by := range times {
		if by >= age+k.Estimate(&l.Job) {
			first = math.Min(first, by)
		}
		last = math.Max(last, by)
	}
	for math.IsInf(first, 1) {
		if last *= 2; last >= age+k.Estimate(&l.Job) {
			first = last
		}
	}
	return l.Since + clock.Time(first*float64(time.Second))
}

// HasStartObjective reports whether a job's class is expected to start within a time.
func (k *State) HasStartObjective(j *protocol.Job) bool {
	for _, o := range k.Objectives() {
		if o.Kind == "wait" && o.Class == j.Class {
			return true
		}
	}
	return false
}

// SubmissionTime is when a job was submitted, by this process's clock.
func (k *State) SubmissionTime(j *protocol.Job) clock.Time {
	if k.WallMS == 0 || j.SubmittedMS == 0 {
		return k.Now
	}
	return min(k.Now, clock.Time(j.SubmittedMS-k.WallMS)*clock.Time(time.Millisecond))
}
