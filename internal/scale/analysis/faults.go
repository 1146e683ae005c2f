package analysis

import (
	"math"
	"slices"
	"time"

	"damsonkeel/internal/scale/siteconfig"
)

const (
	// NotRecovered is the recovery time if there was no recovery before the end of the run.
	NotRecovered = -1
	// faultEffectTail is how long after the end of a fault submitted jobs still count as
	// affected by it.
	faultEffectTail = 20 * time.Second
	// startsWindow is the time over which starts are counted before and after a fault.
	startsWindow = 5 * time.Second
	// recoveredFraction is the fraction of the starts before a fault that must be reached
	// again for the starts to count as recovered.
	recoveredFraction = 0.9
)

// Fault is a fault that was injected into a run, with its start and end on the monotonic clock of
// the run and its measured effect.
type Fault struct {
	Start, End time.Duration
	Metrics    FaultMetrics
}

// FaultMetrics describes the effect of a fault. Recovery times are in seconds from the end of
// the fault.
type FaultMetrics struct {
	Kind siteconfig.FaultKind `json:"kind"`
	AtS  float64              `json:"at_s"`
	ForS float64              `json:"for_s"`
	// HeartbeatsRecoveredS is the time until every worker had an answered heartbeat again, and
	// StartsRecoveredS the time until nine tenths as many tasks started as before the fault.
	// Either is NotRecovered if that did not happen before the end of the run.
	HeartbeatsRecoveredS float64 `json:"heard_s"`
	StartsRecoveredS     float64 `json:"starts_back_s"`
	// Urgent summarizes the urgent jobs that were submitted between the start of the fault and
	// faultEffectTail after its end, while their team was below its limit. A job may count for
	// several faults, as faults overlap.
	Urgent UrgentSummary `json:"urgent"`
}

// affects reports whether a job was submitted during the fault or within faultEffectTail after
// its end.
func (f *Fault) affects(w urgentWait) bool {
	return w.submitted >= f.Start && w.submitted <= f.End+faultEffectTail
}

// recoveryTimeOfStarts returns how many seconds after the end of a fault the number of starts
// per startsWindow reached recoveredFraction of the number before its beginning again, or
// NotRecovered if that did not happen before the last start of the run.
func recoveryTimeOfStarts(starts []time.Duration, begin, end time.Duration) float64 {
	if len(starts) == 0 {
		return NotRecovered
	}
	required := recoveredFraction * float64(countBetween(starts, begin-startsWindow, begin))
	for at := end; at <= starts[len(starts)-1]; at += time.Second {
		if float64(countBetween(starts, at, at+startsWindow)) >= required {
			return math.Round((at-end).Seconds()*10) / 10
		}
	}
	return NotRecovered
}

// countBetween returns how many of the sorted times are in the interval [from, until).
func countBetween(times []time.Duration, from, until time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	last, _ := slices.BinarySearch(times, until)
	return last - first
}
