package forecast

import (
	"math"
	"time"
)

const (
	// priorUptimeS makes the rate assumed before anything was observed: one reclaim in so
	// many machine seconds.
	priorUptimeS = 7200
	// SpotMemory is after how long an observation counts half.
	SpotMemory = 10 * time.Minute
)

// Spot is how often spot machines were reclaimed lately. The zero value has observed none.
type Spot struct {
	reclaimed float64 // machines, weighted by age
	uptimeS   float64 // machine seconds, weighted by age
}

// NoteUptime adds the uptime of some spot machines.
func (s *Spot) NoteUptime(machines int, uptime time.Duration) {
	decay := math.Exp2(-uptime.Seconds() / SpotMemory.Seconds())
	s.reclaimed *= decay
	s.uptimeS = s.uptimeS*decay + float64(machines)*uptime.Seconds()
}

// NoteReclaimed adds a machine that was reclaimed.
func (s *Spot) NoteReclaimed() { s.reclaimed++ }

// Reclaimed returns how many were reclaimed lately.
func (s *Spot) Reclaimed() float64 { return s.reclaimed }

// Rate returns how many times a second a spot machine is reclaimed.
func (s *Spot) Rate() float64 { return (s.reclaimed + 1) / (s.uptimeS + priorUptimeS) }
