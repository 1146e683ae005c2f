package forecast

import (
	"math"
	"slices"
	"time"
)

// Errors is how far the estimates of a class of tasks are off.
type Errors struct {
	ratios []float64 // run time by estimate, the latest last
	factor float64   // as last reckoned; 0: to be reckoned again
}

const (
	errorsKept = 200
	// errorsNeeded is how many tell more than that estimates are often wrong by
	// half, and sometimes by more.
	errorsNeeded = 20
	usualError   = 3.0
	// errorsShare of the tasks run no longer than the factor says.
	errorsShare = 0.98
	mostError   = 5.0
)

// Note adds a task that ran to its end.
func (e *Errors) Note(ran time.Duration, estimateS float64) {
	if estimateS <= 0 {
		return
	}
	e.ratios = append(e.ratios[max(0, len(e.ratios)-errorsKept+1):], ran.Seconds()/estimateS)
	e.factor = 0
}

// Factor is by what estimates are to be multiplied so that tasks are very
// likely to be over by then; 1 at least.
func (e *Errors) Factor() float64 {
	if e == nil || len(e.ratios) < errorsNeeded {
		return usualError
	}
	if e.factor == 0 {
		s := slices.Sorted(slices.Values(e.ratios))
		e.factor = math.Min(math.Max(1, s[int(errorsShare*float64(len(s)))]), mostError)
	}
	return e.factor
}
