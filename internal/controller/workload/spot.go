package workload

import (
	"math"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// maxSpotStretch is the part by which spot machines may lengthen a gang before they are
// avoided for it.
const maxSpotStretch = 0.1

// RecordSpotLoss counts a machine whose record was deleted, if it seems to be a spot
// machine that was preempted.
func (w *Workload) RecordSpotLoss(m *waittable.Machine) {
	if m.Record.Spot && !m.State.Draining && (m.State.Noticed || m.State.Silence == message.SilenceLong) {
		w.Spots.NoteReclaimed()
	}
}

// WatchSpots counts the spot machines, once a relay period.
func (w *Workload) WatchSpots() {
	w.Spots.NoteUptime(w.table.SpotMachines, w.Op.ReplicationInterval)
}

// SpotStretch is the part by which one spot machine lengthens a gang that runs on it: each
// time it is preempted, all tasks go back to their last checkpoint and wait for another
// machine. It is 0 for job arrays, which lose one task only.
func (w *Workload) SpotStretch(j *protocol.Job) float64 {
	if j.Kind != protocol.KindGang || j.Tasks < 2 {
		return 0
	}
	lostS := w.Estimate(j) / 2
	if j.CheckpointS > 0 {
		lostS = math.Min(lostS, j.CheckpointS/2)
	}
	if bootS := w.BootSeconds(j); !math.IsInf(bootS, 1) {
		lostS += bootS
	}
	return w.Spots.Rate() * lostS
}

// AvoidsSpot reports whether spot machines are to be avoided for a job.
func (w *Workload) AvoidsSpot(j *protocol.Job) bool {
	return w.SpotStretch(j)*float64(j.Tasks) > maxSpotStretch
}
