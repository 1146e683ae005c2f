package coordination

import (
	"math"
	"time"

	"damsonkeel/internal/protocol"
)

// spotRisk is how often spot machines are taken, as seen lately.
type spotRisk struct {
	losses float64
	upS    float64 // machine seconds
}

const (
	// Before anything was seen, one loss in so many machine seconds is assumed.
	spotPriorS = 7200
	// What was seen counts half after so long.
	spotMemory = 10 * time.Minute
	// A gang is kept off spot machines that would lengthen it by more than
	// this part.
	mostStretch = 0.1
)

// watch counts the spot machines that are up for a while.
func (s *spotRisk) watch(machines int, d time.Duration) {
	keep := math.Exp2(-d.Seconds() / spotMemory.Seconds())
	s.losses *= keep
	s.upS = s.upS*keep + float64(machines)*d.Seconds()
}

// rate is how many times a second a spot machine is taken.
func (s *spotRisk) rate() float64 { return (s.losses + 1) / (s.upS + spotPriorS) }

// noteLoss counts a machine whose record went as taken, if it looks so.
func (c *Core) noteLoss(m *machineEntry) {
	if m.rec.Spot && !m.told.Draining && (m.told.Noticed || m.told.Silence == silenceLong) {
		c.spots.losses++
	}
}

// watchSpots counts the spot machines once a relay.
func (c *Core) watchSpots() {
	c.spots.watch(c.spotsUp, c.op.RelayEvery)
}

// spotStretch is by which part one spot machine lengthens a gang that runs on
// it: each time it is taken, all tasks go back to their last checkpoint and
// wait for another machine. An array loses one task only, which counts little.
func (c *Core) spotStretch(j *protocol.Job) float64 {
	if j.Kind != protocol.KindGang || j.Tasks < 2 {
		return 0
	}
	lost := c.estimate(j) / 2
	if j.CheckpointS > 0 {
		lost = math.Min(lost, j.CheckpointS/2)
	}
	if up := c.upS(j); !math.IsInf(up, 1) {
		lost += up
	}
	return c.spots.rate() * lost
}

// risky reports whether spot machines are to be avoided for a job.
func (c *Core) risky(j *protocol.Job) bool {
	return c.spotStretch(j)*float64(j.Tasks) > mostStretch
}
