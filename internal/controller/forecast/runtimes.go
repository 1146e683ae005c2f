package forecast

import (
	"math/rand/v2"
	"slices"
)

const (
	// maxRunTimes is the maximum size of the sample, which is enough for a median.
	maxRunTimes = 63
	// minRunTimes is the number of run times from which on their median is more reliable
	// than the owner's estimate.
	minRunTimes = 5
	// minMedianS is the minimum of the returned median, in seconds.
	minMedianS = 1
)

// RunTimes is a sample of how long the tasks of a job ran, in seconds. Owners' estimates are
// often wrong by half or more, but the tasks of a job are similar.
type RunTimes struct {
	sample   []float64
	observed int
	median   float64 // of the sample; 0 if it has to be calculated again
}

// Note adds the run time of a task, in seconds, to the sample. Once the sample is full, the run
// time replaces a random one, with such a probability that the sample represents all observed
// tasks equally (reservoir sampling).
func (r *RunTimes) Note(seconds float64, rng *rand.Rand) {
	r.observed++
	r.median = 0
	if len(r.sample) < maxRunTimes {
		r.sample = append(r.sample, seconds)
		return
	}
	if i := rng.IntN(r.observed); i < maxRunTimes {
		r.sample[i] = seconds
	}
}

// Median returns the median run time of a job's tasks, in seconds and at least minMedianS. It
// returns false until minRunTimes tasks have ended, and while no more tasks have ended than
// are running: the tasks that end first are the short ones.
func (r *RunTimes) Median(running int) (seconds float64, ok bool) {
	if r.observed < minRunTimes || r.observed <= running {
		return 0, false
	}
	if r.median == 0 {
		sorted := slices.Sorted(slices.Values(r.sample))
		r.median = max(sorted[len(sorted)/2], minMedianS)
	}
	return r.median, true
}
