package forecast

import (
	"math"
	"slices"
	"time"
)

const (
	// maxErrors is the maximum size of the sample. minErrors is the sample size from which
	// on a factor is calculated: a smaller sample says no more than that estimates are
	// often wrong by half, and sometimes by more.
	maxErrors = 200
	minErrors = 20
	// errorQuantile is the share of tasks that run no longer than their estimate times
	// the factor.
	errorQuantile = 0.98
	// defaultErrorFactor is the factor while fewer than minErrors tasks have been observed,
	// and maxErrorFactor is the maximum of the calculated factor.
	defaultErrorFactor = 3.0
	maxErrorFactor     = 5.0
)

// EstimateErrors is a sample of the errors of the run time estimates of a class of tasks.
type EstimateErrors struct {
	ratios []float64 // run time divided by the estimate, the latest last
	factor float64   // 0 if it has to be calculated again
}

// Note adds the run time of a task that ran to its end, and its estimate in seconds. Only the
// latest maxErrors tasks are kept. A task without an estimate (0 or less) is ignored.
func (e *EstimateErrors) Note(runTime time.Duration, estimateS float64) {
	if estimateS <= 0 {
		return
	}
	e.ratios = append(e.ratios[max(0, len(e.ratios)-maxErrors+1):], runTime.Seconds()/estimateS)
	e.factor = 0
}

// hasEnough reports whether at least minErrors tasks have been observed, so that a factor can
// be calculated.
func (e *EstimateErrors) hasEnough() bool { return len(e.ratios) >= minErrors }

// Factor returns the factor for which tasks are very likely to end within their estimate times
// the factor: the errorQuantile of the sample, between 1 and maxErrorFactor, or
// defaultErrorFactor if the sample is too small. A nil EstimateErrors is an empty sample.
func (e *EstimateErrors) Factor() float64 {
	if e == nil || !e.hasEnough() {
		return defaultErrorFactor
	}
	if e.factor == 0 {
		sorted := slices.Sorted(slices.Values(e.ratios))
		quantile := sorted[int(errorQuantile*float64(len(sorted)))]
		e.factor = math.Min(math.Max(1, quantile), maxErrorFactor)
	}
	return e.factor
}
