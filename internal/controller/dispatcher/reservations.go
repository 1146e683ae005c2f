package dispatcher

import (
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
)

// reservationVerdict is when an attempt may start on a machine, as far as reservations
// and maintenance windows allow.
type reservationVerdict uint8

const (
	startNow         reservationVerdict = iota
	startAfterOthers                    // once others there have ended
	startElsewhere
)

// maxStopTime is longer than a task takes to save a checkpoint and end.
const maxStopTime = 10 * time.Minute

// checkReservations decides whether an attempt that fits may start on the machine beside
// what is reserved there, and reports whether resources are reserved there for its job.
func (q *queue) checkReservations(e *entry, job *clusterstate.LiveJob, free resource.Amount) (reservationVerdict, bool) {
	reservations := q.Reservations
	holds := reservations.Holds[q.id]
	if len(reservations.Windows) == 0 && len(holds) == 0 && (reservations.Listed || !reservations.Any) {
		return startNow, false
	}
	now := q.WallTime()
	task := reservation.Task{IsOf: q.ReservationFilter(&job.Job), Need: e.need, Level: e.level, SavesCheckpoint: job.CheckpointS > 0}
	runSeconds := q.ExpectedRunSeconds(&job.Job, e.estimate) + q.fetchSeconds(job)
	task.Ends = reservation.After(now, config.Seconds(runSeconds))
	reserved := reservation.ReservedUntil(holds, task.IsOf) != 0
	if m := q.Records[q.id]; m != nil && q.InWindow(q.id, m.Record.Type, m.Record.Zone, now, clusterstate.ReservedEnd(holds, &task)) {
		return startElsewhere, reserved
	}
	switch {
	case q.SpansReservation(&job.Job, task.Ends):
		return startAfterOthers, reserved
	case reservation.AllowsStart(holds, &task, free, now):
		return startNow, reserved
	case reservation.AllowsStart(holds, &task, resource.Capacity(q.machineType), now):
		return startAfterOthers, reserved
	}
	return startElsewhere, reserved
}

// hasReservation reports whether resources that are reserved for an attempt's job are free.
func (q *queue) hasReservation(e *entry) bool {
	job := q.Live[e.task.Job]
	return job != nil && q.free().Covers(e.need) && reservation.ReservedUntil(q.Reservations.Holds[q.id], q.ReservationFilter(&job.Job)) != 0
}

// clearReserved stops what is in the way of a reservation on the machine, at the last
// moment that leaves time to save a checkpoint: only what is less urgent than the
// reserved work and beyond its team's guarantee.
func (q *queue) clearReserved() {
	holds := q.Reservations.Holds[q.id]
	if len(holds) == 0 {
		return
	}
	now := q.WallTime()
	for i := range holds {
		if holds[i].ShouldStop(maxStopTime, now) { // else long before it
			q.clearHold(&holds[i], now)
		}
	}
}

// clearHold stops what is in the way of one reservation, if it is time for that.
func (q *queue) clearHold(hold *reservation.Hold, now reservation.Moment) {
	victims := q.reservationVictims(hold.Level, hold.For)
	seconds := 0.0
	for _, e := range victims {
		seconds = min(max(seconds, q.stopSeconds(e)), maxStopTime.Seconds())
	}
	if !hold.ShouldStop(config.Seconds(seconds), now) {
		return
	}
	free := q.freeAfterStops()
	for _, e := range victims {
		if free.Covers(hold.Need) {
			break
		}
		free = free.Plus(e.need)
		q.stopForOthers(e)
		q.Log.Info("stopped for a reservation", "machine", q.id, "task", e.task, "reservation", hold.For)
	}
}

// reservationVictims lists what may be stopped on the machine for reserved work of a
// level: what can save a checkpoint first, then what ran least.
func (q *queue) reservationVictims(level resource.Level, name reservation.Name) []*entry {
	var victims []*entry
	for _, e := range ordered.Tasks(q.entries) {
		job := q.Live[e.task.Job]
		if e.present && !e.ended() && !e.kill && job != nil && e.level < level && !reservation.Matches(q.ReservationOf(name), &job.Job) {
			victims = append(victims, e)
		}
	}
	q.sortVictims(victims)
	return victims
}
