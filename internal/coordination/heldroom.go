package coordination

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/coordination/calendar"
	"damsonkeel/internal/coordination/room"
)

// bars tells on which machines a job's tasks may not be placed for what is
// promised there; nil: nothing is.
func (c *Core) bars(o *ownedJob) func(m *machineEntry) bool {
	if len(c.promised.windows) == 0 && len(c.promised.list) == 0 {
		return nil
	}
	now := c.moment()
	likely := c.likelyS(&o.Job, c.estimateOf(o))
	t := calendar.Task{Of: c.of(&o.Job), Need: room.Need(&o.Job), Level: o.level, Saves: o.CheckpointS > 0}
	return func(m *machineEntry) bool {
		free, wait := m.free(), m.fetch(&o.Job)
		if c.holdsFor(o, m) {
			free = m.idle()
		}
		if !free.Covers(t.Need) {
			// It would wait there: for what has room beside all that is held.
			free = room.Capacity(m.info)
			wait += m.waitBefore(o.level) / max(m.info.CPUs, 1)
		}
		t.Ends = calendar.After(now, config.Seconds(wait+likely))
		holds := c.promised.holds[m.id]
		if c.inWindow(m.id, m.rec.Type, m.rec.Zone, now, promisedEnd(holds, &t)) {
			return true
		}
		return len(holds) > 0 && !calendar.Leaves(holds, &t, free, now)
	}
}

// holdsFor reports whether room is held on a machine for a job.
func (c *Core) holdsFor(o *ownedJob, m *machineEntry) bool {
	return calendar.OwnUntil(c.promised.holds[m.id], c.of(&o.Job)) != 0
}
