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

// RecordSpotLoss counts a preemption for a machine whose record was deleted, if the machine
// seems to be a spot machine that was preempted.
func (w *Workload) RecordSpotLoss(m *waittable.Machine) {
	if m.Record.Spot && !m.State.Draining && (m.State.Noticed || m.State.Silence == message.SilenceLong) {
		w.SpotPreemptions.NotePreemption()
	}
}

// RecordSpotUptime adds the uptime of the present spot machines to the estimate of the preemption
// rate. It must be called once in each replication interval.
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

// AvoidsSpot reports whether a job should not run on spot machines, since they would slow it
// down too much.
func (w *Workload) AvoidsSpot(j *protocol.Job) bool {
	return w.SpotSlowdown(j)*float64(j.Tasks) > maxSpotSlowdown
}
