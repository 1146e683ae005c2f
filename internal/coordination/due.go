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
func (c *Core) dueTimes(j *protocol.Job) []float64 {
	var by []float64
	if j.DeadlineS > 0 {
		by = append(by, j.DeadlineS)
	}
	for _, o := range c.settings.Site.Objectives {
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
func (c *Core) due(l *liveJob) Time {
	if c.awaited(&l.Job) {
		return l.since // whoever waits longest for a start goes first
	}
	return c.doneBy(l)
}

// doneBy is when a job should be done: the first of its times that can still be
// kept. What can keep none any more makes way for what can, but not for ever:
// it is due again when as long has passed once more, and so on.
func (c *Core) doneBy(l *liveJob) Time {
	age := c.since(l.since).Seconds()
	first, last := math.Inf(1), 0.0
	times := c.dueTimes(&l.Job)
	if len(times) == 0 {
		times = []float64{noDeadline}
	}
	for _, by := range times {
		if by >= age+c.estimate(&l.Job) {
			first = math.Min(first, by)
		}
		last = math.Max(last, by)
	}
	for math.IsInf(first, 1) {
		if last *= 2; last >= age+c.estimate(&l.Job) {
			first = last
		}
	}
	return l.since + Time(first*float64(time.Second))
}

// awaited reports whether a job's class is expected to start within a time.
func (c *Core) awaited(j *protocol.Job) bool {
	for _, o := range c.settings.Site.Objectives {
		if o.Kind == "wait" && o.Class == j.Class {
			return true
		}
	}
	return false
}

// refreshDue reckons anew when jobs are due; queues and jobs are sorted again
// where that has changed.
func (c *Core) refreshDue() {
	changed := false
	for _, l := range c.live {
		if due := c.due(l); due != l.due {
			l.due, changed = due, true
		}
	}
	if !changed {
		return
	}
	c.owner.sorted = nil
	for _, q := range c.queues {
		q.sorted = false
	}
}

// submitted is when a job was submitted, by this process's clock.
func (c *Core) submitted(j *protocol.Job) Time {
	if c.wallMS == 0 || j.SubmittedMS == 0 {
		return c.now
	}
	return min(c.now, Time(j.SubmittedMS-c.wallMS)*Time(time.Millisecond))
}
