package forecast

import (
	"math/rand/v2"
	"slices"
)

const (
	// maxRunTimes is the size of the sample: enough for a median.
	maxRunTimes = 63
	// minRunTimes is how many run times say more than the owner's estimate.
	minRunTimes = 5
	// minMedianS is the least median assumed, in seconds.
	minMedianS = 1
)

// RunTimes is a sample of how long the tasks of a job ran, in seconds. Owners' estimates are
// often wrong by half or more, but the tasks of a job are similar.
type RunTimes struct {
	sample []float64
	seen   int
	median float64 // of the sample, as last calculated; 0: to be calculated again
}

// Note adds how long a task ran, by reservoir sampling.
func (r *RunTimes) Note(seconds float64, rng *rand.Rand) {
	r.seen++
	r.median = 0
	if len(r.sample) < maxRunTimes {
		r.sample = append(r.sample, seconds)
		return
	}
	if i := rng.IntN(r.seen); i < maxRunTimes {
		r.sample[i] = seconds
	}
}

// Usual returns how long half of a job's tasks run at the most, once that is known: while
// more of them run than have ended, those that have ended are the short ones.
func (r *RunTimes) Usual(running int) (seconds float64, ok bool) {
	if r.seen < minRunTimes || r.seen <= running {
		return 0, false
	}
	if r.median == 0 {
		sorted := slices.Sorted(slices.Values(r.sample))
		r.median = max(sorted[len(sorted)/2], minMedianS)
	}
	return r.median, true
}
