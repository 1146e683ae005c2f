package forecast

import "time"

const (
	// minBootFactor is the multiple of the catalogue's boot time within which machines
	// usually boot. It is the factor while fewer than minErrors boots have been observed, and
	// the minimum of the estimated factor; maxBootFactor is the maximum.
	minBootFactor = 1.5
	maxBootFactor = 3.0
)

// BootTimes is a sample of how long machines take to boot compared to the catalogue. The zero
// value is an empty sample.
type BootTimes struct{ errors EstimateErrors }

// Note adds the observed boot time of a machine whose type has a boot time of bootS seconds in
// the catalogue of machine types.
func (b *BootTimes) Note(bootTime time.Duration, bootS float64) { b.errors.Note(bootTime, bootS) }

// LikelySeconds returns the number of seconds within which most machines of a type boot, given
// the type's boot time in the catalogue, in seconds: that time multiplied by a factor between
// minBootFactor and maxBootFactor, which is estimated from the sample.
func (b *BootTimes) LikelySeconds(bootS float64) float64 {
	factor := minBootFactor
	if b.errors.hasEnough() {
		factor = min(max(factor, b.errors.Factor()), maxBootFactor)
	}
	return factor * bootS
}
