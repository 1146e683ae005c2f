package holds

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// Exclusion returns a function that reports whether a task of a job, of a level and with an
// estimated run time in seconds, may not be placed on a machine: because it would run while
// the machine is in a window, or use resources that are held for others. The task's end is
// expected after its wait on the machine and the run time that it very likely does not exceed.
func (h *Holds) Exclusion(j *protocol.Job, level resource.Level, estimateS float64) func(m *waittable.Machine) bool {
	now := h.WallTime()
	expectedRunS := h.ExpectedRunSeconds(j, estimateS)
	task := reservation.Task{IsOf: h.ReservationFilter(j), Need: resource.Need(j), Level: level, SavesCheckpoint: j.CheckpointS > 0}
	return func(m *waittable.Machine) bool {
		free, waitS := m.Free(), m.FetchSeconds(j)
		if h.HeldFor(j, m) {
			free = m.Idle()
		}
		if !free.Covers(task.Need) {
			// The task would be queued there and could use all resources that are not held.
			free = resource.Capacity(m.Info)
			waitS += m.WaitBefore(level) / max(m.Info.CPUs, 1)
		}
		task.Ends = reservation.After(now, config.Seconds(waitS+expectedRunS))
		holds := h.Holds[m.ID]
		if h.InWindow(m.ID, m.Record.Type, m.Record.Zone, now, clusterstate.ReservedEnd(holds, &task)) {
			return true
		}
		return len(holds) > 0 && !reservation.AllowsStart(holds, &task, free, now)
	}
}
