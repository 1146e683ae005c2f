package forecast

import (
	"math"
	"time"
)

// Spot is how often spot machines are taken, as seen lately. The zero value has
// seen nothing.
type Spot struct {
	losses float64
	upS    float64 // machine seconds
}

const (
	// Before anything was seen, one loss in so many machine seconds is assumed.
	spotPriorS = 7200
	// SpotMemory is after how long what was seen counts half.
	SpotMemory = 10 * time.Minute
)

// Watch counts the spot machines that are up for a while.
func (s *Spot) Watch(machines int, d time.Duration) {
	keep := math.Exp2(-d.Seconds() / SpotMemory.Seconds())
	s.losses *= keep
	s.upS = s.upS*keep + float64(machines)*d.Seconds()
}

// Lost counts a machine that was taken.
func (s *Spot) Lost() { s.losses++ }

// Losses is how many were taken lately.
func (s *Spot) Losses() float64 { return s.losses }

// Rate is how many times a second a spot machine is taken.
func (s *Spot) Rate() float64 { return (s.losses + 1) / (s.upS + spotPriorS) }
