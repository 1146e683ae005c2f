package forecast

import (
	"math"
	"time"
)

const (
	// priorUptimeS sets the rate that is assumed before anything has been observed: one
	// preemption in this number of machine seconds.
	priorUptimeS = 7200
	// SpotHalfLife is the time after which the weight of an observation has halved.
	SpotHalfLife = 10 * time.Minute
)

// SpotPreemptions is a record of how often spot machines have recently been preempted. The zero
// value has no observations.
type SpotPreemptions struct {
	preempted float64 // number of preempted machines, weighted by age
	uptimeS   float64 // machine seconds, weighted by age
}

// NoteUptime adds an uptime during which the given number of spot machines ran.
func (s *SpotPreemptions) NoteUptime(machines int, uptime time.Duration) {
	decay := math.Exp2(-uptime.Seconds() / SpotHalfLife.Seconds())
	s.preempted *= decay
	s.uptimeS = s.uptimeS*decay + float64(machines)*uptime.Seconds()
}

// NotePreemption adds a machine that was preempted.
func (s *SpotPreemptions) NotePreemption() { s.preempted++ }

// RecentPreemptions returns the number of preempted machines, weighted by age.
func (s *SpotPreemptions) RecentPreemptions() float64 { return s.preempted }

// PreemptionRate returns the expected number of preemptions per second of a spot machine.
func (s *SpotPreemptions) PreemptionRate() float64 {
	return (s.preempted + 1) / (s.uptimeS + priorUptimeS)
}
