package forecast

import "time"

const (
	// usualBootFactor is how many times as long as in the catalogue a boot takes at the
	// most, as a rule, and maxBootFactor bounds what is estimated.
	usualBootFactor = 1.5
	maxBootFactor   = 3.0
)

// Boots is how long machines take to boot compared to the catalogue. The zero value has
// observed none.
type Boots struct{ errors Errors }

// Note adds a machine that has booted.
func (b *Boots) Note(took time.Duration, bootS float64) { b.errors.Note(took, bootS) }

// Likely returns after how many seconds most machines of a type have booted.
func (b *Boots) Likely(bootS float64) float64 {
	factor := usualBootFactor
	if b.errors.known() {
		factor = min(max(factor, b.errors.Factor()), maxBootFactor)
	}
	return factor * bootS
}
