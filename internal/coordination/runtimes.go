package coordination

import (
	"slices"
	"time"
)

// runTimes is a sample of how long the tasks of a job ran, in seconds. Owners'
// estimates are often wrong by half or more, but the tasks of a job are alike.
type runTimes struct {
	sample []float64
	seen   int
	median float64 // of the sample, as last reckoned; 0: to be reckoned again
}

const (
	// runTimesKept is the size of the sample: enough for a median.
	runTimesKept = 63
	// runTimesNeeded is how many tell more than the owner's estimate.
	runTimesNeeded = 5
)

// noteRun learns from a task that is done how long the job's tasks run. One
// that ran before may have saved its progress, and one taken over may have run
// for long unseen: they tell nothing. Counted as short, the latter made all
// others seem late after each takeover, and their machines slow.
func (c *Core) noteRun(o *ownedJob, t *placedTask) {
	if !t.running || t.midway || o.again.Test(uint(t.task.Index)) {
		return
	}
	r, s := &o.ran, time.Duration(c.now-t.runs).Seconds()
	r.seen++
	r.median = 0
	if len(r.sample) < runTimesKept {
		r.sample = append(r.sample, s)
	} else if i := c.rng.IntN(r.seen); i < runTimesKept {
		r.sample[i] = s
	}
}

// usual is how long half of a job's tasks run at the most, once that is known:
// as long as more of them run than are done, those that are done are the short
// ones.
func (o *ownedJob) usual() (seconds float64, ok bool) {
	r := &o.ran
	if r.seen < runTimesNeeded || r.seen <= int(o.running) {
		return 0, false
	}
	if r.median == 0 {
		s := slices.Sorted(slices.Values(r.sample))
		r.median = max(s[len(s)/2], 1)
	}
	return r.median, true
}

// estimateOf is a task's expected run time: what the job's other tasks took,
// once enough of them are done, and before that its owner's estimate.
func (c *Core) estimateOf(o *ownedJob) float64 {
	if s, ok := o.usual(); ok {
		return s
	}
	return c.estimate(&o.Job)
}
