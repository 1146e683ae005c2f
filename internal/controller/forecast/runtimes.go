package forecast

import (
	"math/rand/v2"
	"slices"
)

// RunTimes is a sample of how long the tasks of a job ran, in seconds. Owners'
// estimates are often wrong by half or more, but the tasks of a job are alike.
type RunTimes struct {
	sample []float64
	seen   int
	median float64 // reservation the sample, as last reckoned; 0: to be reckoned again
}

const (
	// runTimesKept is the size of the sample: enough for a median.
	runTimesKept = 63
	// runTimesNeeded is how many tell more than the owner's estimate.
	runTimesNeeded = 5
)

// Note adds how long a task ran.
func (r *RunTimes) Note(seconds float64, rng *rand.Rand) {
	r.seen++
	r.median = 0
	if len(r.sample) < runTimesKept {
		r.sample = append(r.sample, seconds)
	} else if i := rng.IntN(r.seen); i < runTimesKept {
		r.sample[i] = seconds
	}
}

// Usual is how long half of a job's tasks run at the most, once that is known:
// as long as more of them run than are done, those that are done are the short
// ones.
func (r *RunTimes) Usual(running int) (seconds float64, ok bool) {
	if r.seen < runTimesNeeded || r.seen <= running {
		return 0, false
	}
	if r.median == 0 {
		s := slices.Sorted(slices.Values(r.sample))
		r.median = max(s[len(s)/2], 1)
	}
	return r.median, true
}
