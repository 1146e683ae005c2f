package forecast

import (
	"math"
	"slices"
	"time"
)

const (
	// maxErrors bounds the tasks that are remembered, and minErrors is how many say more
	// than that estimates are often wrong by half, and sometimes by more.
	maxErrors = 200
	minErrors = 20
	// errorQuantile of the tasks run no longer than the factor says.
	errorQuantile = 0.98
	// usualErrorFactor stands in while too few tasks were observed, and maxErrorFactor
	// bounds what is estimated.
	usualErrorFactor = 3.0
	maxErrorFactor   = 5.0
)

// Errors is by how much the run time estimates of a class of tasks are wrong.
type Errors struct {
	ratios []float64 // run time by estimate, the latest last
	factor float64   // as last calculated; 0: to be calculated again
}

// Note adds a task that ran to its end.
func (e *Errors) Note(ran time.Duration, estimateS float64) {
	if estimateS <= 0 {
		return
	}
	e.ratios = append(e.ratios[max(0, len(e.ratios)-maxErrors+1):], ran.Seconds()/estimateS)
	e.factor = 0
}

// known reports whether enough tasks were observed.
func (e *Errors) known() bool { return len(e.ratios) >= minErrors }

// Factor returns by what estimates are to be multiplied so that tasks are very likely to
// have ended by then; 1 at least. A nil Errors has observed none.
func (e *Errors) Factor() float64 {
	if e == nil || !e.known() {
		return usualErrorFactor
	}
	if e.factor == 0 {
		sorted := slices.Sorted(slices.Values(e.ratios))
		quantile := sorted[int(errorQuantile*float64(len(sorted)))]
		e.factor = math.Min(math.Max(1, quantile), maxErrorFactor)
	}
	return e.factor
}
