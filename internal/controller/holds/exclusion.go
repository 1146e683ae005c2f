package holds

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// Active reports whether anything is held or closed at present.
func (rh *Holds) Active() bool { return len(rh.Windows) > 0 || len(rh.List) > 0 }

// Excluded tells on which machines a job's tasks may not be placed for what is
// promised there.
func (rh *Holds) Excluded(j *protocol.Job, level resource.Level, estimateS float64) func(m *waittable.Machine) bool {
	now := rh.WallTime()
	likely := rh.ExpectedRunSeconds(j, estimateS)
	t := reservation.Task{Of: rh.ReservationFilter(j), Need: resource.Need(j), Level: level, Saves: j.CheckpointS > 0}
	return func(m *waittable.Machine) bool {
		free, wait := m.Free(), m.FetchSeconds(j)
		if rh.HeldFor(j, m) {
			free = m.Idle()
		}
		if !free.Covers(t.Need) {
			// It would wait there: for what has room beside all that is held.
			free = resource.Capacity(m.Info)
			wait += m.WaitBefore(level) / max(m.Info.CPUs, 1)
		}
		t.Ends = reservation.After(now, config.Seconds(wait+likely))
		holds := rh.Holds[m.ID]
		if rh.InWindow(m.ID, m.Record.Type, m.Record.Zone, now, clusterstate.ReservedEnd(holds, &t)) {
			return true
		}
		return len(holds) > 0 && !reservation.LeavesRoom(holds, &t, free, now)
	}
}

// HeldFor reports whether room is held on a machine for a job.
func (rh *Holds) HeldFor(j *protocol.Job, m *waittable.Machine) bool {
	return reservation.OwnUntil(rh.Holds[m.ID], rh.ReservationFilter(j)) != 0
}
