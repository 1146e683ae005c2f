package controller

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
)

// excludedByHolds tells on which machines a job's tasks may not be placed for what is
// promised there; nil: nothing is.
func (rh *reservationHolds) excludedByHolds(o *ownedJob) func(m *machineEntry) bool {
	if len(rh.Windows) == 0 && len(rh.List) == 0 {
		return nil
	}
	now := rh.WallTime()
	likely := rh.ExpectedRunSeconds(&o.Job, rh.jobs.estimateOf(o))
	t := reservation.Task{Of: rh.ReservationFilter(&o.Job), Need: resource.Need(&o.Job), Level: o.level, Saves: o.CheckpointS > 0}
	return func(m *machineEntry) bool {
		free, wait := m.free(), m.fetch(&o.Job)
		if rh.holdsFor(o, m) {
			free = m.idle()
		}
		if !free.Covers(t.Need) {
			// It would wait there: for what has room beside all that is held.
			free = resource.Capacity(m.Info)
			wait += m.waitBefore(o.level) / max(m.Info.CPUs, 1)
		}
		t.Ends = reservation.After(now, config.Seconds(wait+likely))
		holds := rh.Holds[m.ID]
		if rh.InWindow(m.ID, m.Record.Type, m.Record.Zone, now, clusterstate.ReservedEnd(holds, &t)) {
			return true
		}
		return len(holds) > 0 && !reservation.LeavesRoom(holds, &t, free, now)
	}
}

// holdsFor reports whether room is held on a machine for a job.
func (rh *reservationHolds) holdsFor(o *ownedJob, m *machineEntry) bool {
	return reservation.OwnUntil(rh.Holds[m.ID], rh.ReservationFilter(&o.Job)) != 0
}
