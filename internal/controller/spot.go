package controller

import (
	"math"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// mostStretch: a gang is kept off spot machines that would lengthen it by more
// than this part.
const mostStretch = 0.1

// recordSpotLoss counts a machine whose record went as taken, if it looks so.
func (wl *workload) recordSpotLoss(m *machineEntry) {
	if m.Record.Spot && !m.reported.Draining && (m.reported.Noticed || m.reported.Silence == message.SilenceLong) {
		wl.spots.Lost()
	}
}

// watchSpots counts the spot machines once a relay.
func (wl *workload) watchSpots() {
	wl.spots.Watch(wl.table.spotsUp, wl.Op.RelayEvery)
}

// spotStretch is by which part one spot machine lengthens a gang that runs on
// it: each time it is taken, all tasks go back to their last checkpoint and
// wait for another machine. An array loses one task only, which counts little.
func (wl *workload) spotStretch(j *protocol.Job) float64 {
	if j.Kind != protocol.KindGang || j.Tasks < 2 {
		return 0
	}
	lost := wl.Estimate(j) / 2
	if j.CheckpointS > 0 {
		lost = math.Min(lost, j.CheckpointS/2)
	}
	if up := wl.upS(j); !math.IsInf(up, 1) {
		lost += up
	}
	return wl.spots.Rate() * lost
}

// risky reports whether spot machines are to be avoided for a job.
func (wl *workload) risky(j *protocol.Job) bool {
	return wl.spotStretch(j)*float64(j.Tasks) > mostStretch
}
