package dispatcher

import (
	"slices"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
)

// startLater is why something that waits in a machine's queue does not start.
type startLater uint8

const (
	startNow  startLater = iota
	startSoon            // once others there are over
	startElsewhere
)

// mayStartOn decides whether something that fits may start on a machine, for what
// is promised there.
func (k *Dispatcher) mayStartOn(q *queue, e *entry, j *clusterstate.LiveJob, free resource.Amount) (startLater, bool) {
	pr := k.Reservations
	holds := pr.Holds[q.id]
	if len(pr.Windows) == 0 && len(holds) == 0 && (pr.Listed || !pr.Any) {
		return startNow, false
	}
	now := k.WallTime()
	t := reservation.Task{Of: k.ReservationFilter(&j.Job), Need: e.need, Level: e.level, Saves: j.CheckpointS > 0}
	run := k.ExpectedRunSeconds(&j.Job, e.estimate) + q.fetchS(j)
	t.Ends = reservation.After(now, config.Seconds(run))
	owns := reservation.OwnUntil(holds, t.Of) != 0
	if m := k.Records[q.id]; m != nil && k.InWindow(q.id, m.Record.Type, m.Record.Zone, now, clusterstate.ReservedEnd(holds, &t)) {
		return startElsewhere, owns
	}
	switch {
	case k.SpansReservation(&j.Job, t.Ends):
		return startSoon, owns
	case reservation.LeavesRoom(holds, &t, free, now):
		return startNow, owns
	case reservation.LeavesRoom(holds, &t, resource.Capacity(q.info), now):
		return startSoon, owns
	}
	return startElsewhere, owns
}

// hasReservation reports whether room that is held for an attempt's job is free.
func (k *Dispatcher) hasReservation(q *queue, e *entry) bool {
	j := k.Live[e.task.Job]
	return j != nil && q.free().Covers(e.need) && reservation.OwnUntil(k.Reservations.Holds[q.id], k.ReservationFilter(&j.Job)) != 0
}

// fetchS is how long the machine takes to get a job's image, in seconds.
func (q *queue) fetchS(j *clusterstate.LiveJob) float64 {
	if slices.Contains(q.images, j.Image) {
		return 0
	}
	return clusterstate.FetchS(q.info, &j.Job)
}

// clearHeld stops what is in the way of room held on a machine, in the last
// moment that leaves time to save: only what is less urgent than the reserved
// work and beyond its team's guarantee.
func (k *Dispatcher) clearHeld(q *queue) {
	holds := k.Reservations.Holds[q.id]
	if len(holds) == 0 {
		return
	}
	now := k.WallTime()
	for i := range holds {
		h := &holds[i]
		if !h.Stop(maxCheckpointSeconds, now) {
			continue // long before it
		}
		victims := k.stoppable(q, h.Level, h.For)
		save := 0.0
		for _, e := range victims {
			save = min(max(save, k.checkpointSeconds(e)), maxCheckpointSeconds.Seconds())
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
			k.stopFor(q, e)
			k.Log.Info("stopped for a reservation", "machine", q.id, "task", e.task, "reservation", h.For)
		}
	}
}

// maxCheckpointSeconds is longer than a task takes to save.
const maxCheckpointSeconds = 10 * time.Minute

// checkpointSeconds is how long an attempt may take to be gone once it is stopped.
func (k *Dispatcher) checkpointSeconds(e *entry) float64 {
	if j := k.Live[e.task.Job]; j != nil {
		return clusterstate.GraceS(&j.Job)
	}
	return 1
}

// stoppable lists what may be stopped on a machine for reserved work of a level:
// what can save first, then what ran least.
func (k *Dispatcher) stoppable(q *queue, l resource.Level, n reservation.Name) []*entry {
	var victims []*entry
	for _, e := range ordered.Tasks(q.entries) {
		j := k.Live[e.task.Job]
		if e.present && !e.ended() && !e.kill && j != nil && e.level < l && !reservation.Matches(k.ReservationOf(n), &j.Job) {
			victims = append(victims, e)
		}
	}
	k.sortVictims(victims)
	return victims
}
