package coordination

import (
	"slices"
	"time"

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

// startLater is why something that waits in a machine's queue does not start.
type startLater uint8

const (
	startNow  startLater = iota
	startSoon            // once others there are over
	startElsewhere
)

// mayStartOn decides whether something that fits may start on a machine, for what
// is promised there.
func (c *Core) mayStartOn(q *queue, e *entry, j *liveJob, free room.Amount) (startLater, bool) {
	pr := &c.promised
	holds := pr.holds[q.id]
	if len(pr.windows) == 0 && len(holds) == 0 && (pr.listed || !pr.any) {
		return startNow, false
	}
	now := c.moment()
	t := calendar.Task{Of: c.of(&j.Job), Need: e.need, Level: e.level, Saves: j.CheckpointS > 0}
	run := c.likelyS(&j.Job, e.estimate) + q.fetchS(j)
	t.Ends = calendar.After(now, config.Seconds(run))
	owns := calendar.OwnUntil(holds, t.Of) != 0
	if m := c.machines[q.id]; m != nil && c.inWindow(q.id, m.rec.Type, m.rec.Zone, now, promisedEnd(holds, &t)) {
		return startElsewhere, owns
	}
	switch {
	case c.unsettled(&j.Job, t.Ends):
		return startSoon, owns
	case calendar.Leaves(holds, &t, free, now):
		return startNow, owns
	case calendar.Leaves(holds, &t, room.Capacity(q.info), now):
		return startSoon, owns
	}
	return startElsewhere, owns
}

// ownsRoom reports whether room that is held for an attempt's job is free.
func (c *Core) ownsRoom(q *queue, e *entry) bool {
	j := c.live[e.task.Job]
	return j != nil && q.free().Covers(e.need) && calendar.OwnUntil(c.promised.holds[q.id], c.of(&j.Job)) != 0
}

// fetchS is how long the machine takes to get a job's image, in seconds.
func (q *queue) fetchS(j *liveJob) float64 {
	if slices.Contains(q.images, j.Image) {
		return 0
	}
	return fetchS(q.info, &j.Job)
}

// clearHeld stops what is in the way of room held on a machine, in the last
// moment that leaves time to save: only what is less urgent than the reserved
// work and beyond its team's guarantee.
func (c *Core) clearHeld(q *queue) {
	c.learnLevels(q)
	holds := c.promised.holds[q.id]
	if len(holds) == 0 {
		return
	}
	now := c.moment()
	for i := range holds {
		h := &holds[i]
		if !h.Stop(savesAtMost, now) {
			continue // long before it
		}
		victims := c.stoppable(q, h.Level, h.For)
		save := 0.0
		for _, e := range victims {
			save = min(max(save, c.saveS(e)), savesAtMost.Seconds())
		}
		if !h.Stop(config.Seconds(save), now) {
			continue
		}
		free := q.freeSoon()
		for _, e := range victims {
			if free.Covers(h.Need) {
				break
			}
			free = free.Plus(e.need)
			c.stopFor(q, e)
			c.log.Info("stopped for a reservation", "machine", q.id, "task", e.task, "reservation", h.For)
		}
	}
}

// savesAtMost is longer than a task takes to save.
const savesAtMost = 10 * time.Minute

// saveS is how long an attempt may take to be gone once it is stopped.
func (c *Core) saveS(e *entry) float64 {
	if j := c.live[e.task.Job]; j != nil {
		return graceS(&j.Job)
	}
	return 1
}

// stoppable lists what may be stopped on a machine for reserved work of a level:
// what can save first, then what ran least.
func (c *Core) stoppable(q *queue, l room.Level, n calendar.Name) []*entry {
	var victims []*entry
	for _, e := range tasksInOrder(q.entries) {
		j := c.live[e.task.Job]
		if e.present && !e.ended() && !e.kill && j != nil && e.level < l && !calendar.Matches(c.reservationOf(n), &j.Job) {
			victims = append(victims, e)
		}
	}
	c.sortVictims(victims)
	return victims
}
