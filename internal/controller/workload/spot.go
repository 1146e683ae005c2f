package workload

import (
	"math"

	"damsonkeel/internal/controller/waittable"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// mostStretch: a gang is kept off spot machines that would lengthen it by more
// than this part.
const mostStretch = 0.1

// RecordSpotLoss counts a machine whose record went as taken, if it looks so.
func (wl *Workload) RecordSpotLoss(m *waittable.Machine) {
	if m.Record.Spot && !m.Reported.Draining && (m.Reported.Noticed || m.Reported.Silence == message.SilenceLong) {
		wl.Spots.Lost()
	}
}

// WatchSpots counts the spot machines once a relay.
func (wl *Workload) WatchSpots() {
	wl.Spots.Watch(wl.table.SpotMachines, wl.Op.RelayEvery)
}

// SpotStretch is by which part one spot machine lengthens a gang that runs on
// it: each time it is taken, all tasks go back to their last checkpoint and
// wait for another machine. An array loses one task only, which counts little.
func (wl *Workload) SpotStretch(j *protocol.Job) float64 {
	if j.Kind != protocol.KindGang || j.Tasks < 2 {
		return 0
	}
	lost := wl.Estimate(j) / 2
	if j.CheckpointS > 0 {
		lost = math.Min(lost, j.CheckpointS/2)
	}
	if up := wl.BootSeconds(j); !math.IsInf(up, 1) {
		lost += up
	}
	return wl.Spots.Rate() * lost
}

// AvoidsSpot reports whether spot machines are to be avoided for a job.
func (wl *Workload) AvoidsSpot(j *protocol.Job) bool {
	return wl.SpotStretch(j)*float64(j.Tasks) > mostStretch
}
