package workload

import (
	"math"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// maxSpotSlowdown is the largest fraction of its run time by which spot machines may slow
// down a gang; above it the gang avoids spot machines.
const maxSpotSlowdown = 0.1

// RecordSpotLoss counts a preemption for a machine whose record was deleted, if it was a spot
// machine that was not draining, and the cloud had given notice of the preemption or its worker
// had been silent for more than twice as long as a healthy worker may be.
func (w *Workload) RecordSpotLoss(m *waittable.Machine) {
	if m.Record.Spot && !m.State.Draining && (m.State.Noticed || m.State.Silence == message.SilenceLong) {
		w.SpotPreemptions.NotePreemption()
	}
}

// RecordSpotUptime adds one replication interval of uptime for each registered spot machine to
// the estimate of the preemption rate. It must be called once in each replication interval.
func (w *Workload) RecordSpotUptime() {
	w.SpotPreemptions.NoteUptime(w.table.SpotMachines, w.Operator.ReplicationInterval)
}

// SpotSlowdown returns the fraction by which one spot machine is expected to lengthen the run
// time of a gang that uses it: each time it is preempted, all tasks of the gang return to
// their last checkpoint and wait for another machine. It is 0 for job arrays, which lose only
// one task.
func (w *Workload) SpotSlowdown(j *protocol.Job) float64 {
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
	return w.SpotPreemptions.PreemptionRate() * lostS
}

// AvoidsSpot reports whether a job should not run on spot machines: with each of its tasks on a
// spot machine, they would lengthen its run time by more than maxSpotSlowdown.
func (w *Workload) AvoidsSpot(j *protocol.Job) bool {
	return w.SpotSlowdown(j)*float64(j.Tasks) > maxSpotSlowdown
}
