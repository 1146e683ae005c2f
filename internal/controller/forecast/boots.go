package forecast

import "time"

// Boots is how long machines take to come up, by what the catalogue says. The
// zero value has seen none.
type Boots struct{ errors Errors }

const (
	// usualBoot is how many times as long as the catalogue says a boot takes at
	// the most, as a rule.
	usualBoot = 1.5
	mostBoot  = 3.0
)

// Note adds a machine that came up.
func (b *Boots) Note(took time.Duration, bootS float64) { b.errors.Note(took, bootS) }

// Likely is after how long, in seconds, most machines of a type are up.
func (b *Boots) Likely(bootS float64) float64 {
	factor := usualBoot
	if len(b.errors.ratios) >= errorsNeeded {
		factor = min(max(factor, b.errors.Factor()), mostBoot)
	}
	return factor * bootS
}
