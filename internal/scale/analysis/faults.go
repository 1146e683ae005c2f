package analysis

import (
	"math"
	"slices"
	"time"

	"damsonkeel/internal/scale/siteconfig"
)

const (
	// NotRecovered stands for a recovery that was not seen before the end of the run.
	NotRecovered = -1
	// faultAftermath is how long after its end a fault counts for submitted jobs.
	faultAftermath = 20 * time.Second
	// startsWindow is the time over which starts are counted before and after a fault.
	startsWindow = 5 * time.Second
	// recoveredFraction is the fraction of the earlier starts that counts as recovered.
	recoveredFraction = 0.9
)

// Fault is a fault that was injected into a run.
type Fault struct {
	Start, End time.Duration
	Metrics    FaultMetrics
}

// FaultMetrics describe the effect of a fault. Times are in seconds from its end.
type FaultMetrics struct {
	Kind siteconfig.FaultKind `json:"kind"`
	AtS  float64              `json:"at_s"`
	ForS float64              `json:"for_s"`
	// HeartbeatsRecoveredS is the time until each worker's heartbeat was answered again, and
	// StartsRecoveredS until nine tenths as many tasks started as before; NotRecovered: not
	// before the run's end.
	HeartbeatsRecoveredS float64 `json:"heard_s"`
	StartsRecoveredS     float64 `json:"starts_back_s"`
	// Urgent summarizes the urgent jobs that were submitted from the fault's start until a
	// while after its end and whose team was below its limit. Faults overlap: a job may
	// count for several.
	Urgent UrgentSummary `json:"urgent"`
}

// affects reports whether the fault counts for a job.
func (f *Fault) affects(w urgentWait) bool {
	return w.submitted >= f.Start && w.submitted <= f.End+faultAftermath
}

// startsRecoveredAfter returns how many seconds after a fault's end as many tasks started
// as before it, or NotRecovered.
func startsRecoveredAfter(starts []time.Duration, begin, end time.Duration) float64 {
	if len(starts) == 0 {
		return NotRecovered
	}
	want := recoveredFraction * float64(countBetween(starts, begin-startsWindow, begin))
	for at := end; at <= starts[len(starts)-1]; at += time.Second {
		if float64(countBetween(starts, at, at+startsWindow)) >= want {
			return math.Round((at-end).Seconds()*10) / 10
		}
	}
	return NotRecovered
}

// countBetween counts the sorted times from one moment until before another.
func countBetween(times []time.Duration, from, until time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	last, _ := slices.BinarySearch(times, until)
	return last - first
}
