package forecast

import (
	"math"
	"time"
)

const (
	// priorUptimeS sets the rate that is assumed before anything has been observed: one
	// preemption in this number of machine seconds.
	priorUptimeS = 7200
	// SpotHalfLife is the time after which the weight of an observed uptime or preemption
	// has halved.
	SpotHalfLife = 10 * time.Minute
)

// SpotPreemptions is a record of how often spot machines have recently been preempted. The zero
// value has no observations.
type SpotPreemptions struct {
	preempted float64 // number of preempted machines, weighted by age
	uptimeS   float64 // machine seconds, weighted by age
}

// NoteUptime adds a period in which the given number of spot machines ran, and reduces the
// weight of all earlier observations by the length of the period.
func (s *SpotPreemptions) NoteUptime(machines int, uptime time.Duration) {
	decay := math.Exp2(-uptime.Seconds() / SpotHalfLife.Seconds())
	s.preempted *= decay
	s.uptimeS = s.uptimeS*decay + float64(machines)*uptime.Seconds()
}

// NotePreemption adds one machine that was preempted now, with full weight.
func (s *SpotPreemptions) NotePreemption() { s.preempted++ }

// RecentPreemptions returns the number of preempted machines, each weighted by its age: a
// preemption counts half after SpotHalfLife.
func (s *SpotPreemptions) RecentPreemptions() float64 { return s.preempted }

// PreemptionRate returns the expected number of preemptions per second of one spot machine. It
// is one in priorUptimeS seconds before anything has been observed.
func (s *SpotPreemptions) PreemptionRate() float64 {
	return (s.preempted + 1) / (s.uptimeS + priorUptimeS)
}
