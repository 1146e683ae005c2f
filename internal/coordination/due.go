package coordination

import (
	"math"
	"time"

	"damsonkeel/internal/protocol"
)

// noDeadline is when a job should be done of which nobody says when: after
// what is expected sooner, but not after all that is still to come.
const noDeadline = 600.0

// dueTimes are the times, in seconds after its submission, by which a job
// should be done: its deadline and its class's objectives, in any order.
func (k *known) dueTimes(j *protocol.Job) []float64 {
	var by []float64
	if j.DeadlineS > 0 {
		by = append(by, j.DeadlineS)
	}
	for _, o := range k.settings.Site.Objectives {
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

// due is what jobs of a level are ordered by: when they should be done.
func (k *known) due(l *liveJob) Time {
	if k.awaited(&l.Job) {
		return l.since // whoever waits longest for a start goes first
	}
	return k.doneBy(l)
}

// doneBy is when a job should be done: the first of its times that can still be
// kept. What can keep none any more makes way for what can, but not for ever:
// it is due again when as long has passed once more, and so on.
func (k *known) doneBy(l *liveJob) Time {
	age := k.since(l.since).Seconds()
	first, last := math.Inf(1), 0.0
	times := k.dueTimes(&l.Job)
	if len(times) == 0 {
		times = []float64{noDeadline}
	}
	for _, by := range times {
		if by >= age+k.estimate(&l.Job) {
			first = math.Min(first, by)
		}
		last = math.Max(last, by)
	}
	for math.IsInf(first, 1) {
		if last *= 2; last >= age+k.estimate(&l.Job) {
			first = last
		}
	}
	return l.since + Time(first*float64(time.Second))
}

// awaited reports whether a job's class is expected to start within a time.
func (k *known) awaited(j *protocol.Job) bool {
	for _, o := range k.settings.Site.Objectives {
		if o.Kind == "wait" && o.Class == j.Class {
			return true
		}
	}
	return false
}

// submitted is when a job was submitted, by this process's clock.
func (k *known) submitted(j *protocol.Job) Time {
	if k.wallMS == 0 || j.SubmittedMS == 0 {
		return k.now
	}
	return min(k.now, Time(j.SubmittedMS-k.wallMS)*Time(time.Millisecond))
}
