package dispatcher

import (
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
)

// reservationVerdict says when an attempt may start on a machine under its reservations and
// maintenance windows.
type reservationVerdict uint8

const (
	startNow         reservationVerdict = iota
	startAfterOthers                    // once other attempts on the machine have ended
	startElsewhere                      // not on this machine: the attempt is released if it fits
)

// maxStopTime is an upper bound of the time that a task takes to save a checkpoint and end.
const maxStopTime = 10 * time.Minute

// checkReservations decides when an attempt may start on the machine in the given free
// resources, considering the holds on the machine and the maintenance windows that cover
// it, and reports whether resources are reserved there for its job.
func (q *queue) checkReservations(e *entry, job *clusterstate.LiveJob, free resource.Amount) (reservationVerdict, bool) {
	reservations := q.Reservations
	holds := reservations.Holds[q.id]
	if len(reservations.Windows) == 0 && len(holds) == 0 && (reservations.HoldsListed || !reservations.HasEntries) {
		return startNow, false
	}
	now := q.WallTime()
	task := q.reservationTask(e, job)
	reserved := reservation.ReservedUntil(holds, task.IsOf) != 0
	if q.windowForbids(&task) {
		return startElsewhere, reserved
	}
	switch {
	case q.OverlapsUnlistedReservation(&job.Job, task.Ends):
		return startAfterOthers, reserved
	case reservation.AllowsStart(holds, &task, free, now):
		return startNow, reserved
	case reservation.AllowsStart(holds, &task, resource.Capacity(q.machineType), now):
		return startAfterOthers, reserved
	}
	return startElsewhere, reserved
}

// reservationTask returns an attempt that starts now as the calendar sees it.
func (q *queue) reservationTask(e *entry, job *clusterstate.LiveJob) reservation.Task {
	runSeconds := q.ExpectedRunSeconds(&job.Job, e.estimate) + q.fetchSeconds(job)
	return reservation.Task{
		IsOf:            q.ReservationFilter(&job.Job),
		Need:            e.need,
		Level:           e.level,
		SavesCheckpoint: job.CheckpointS > 0,
		Ends:            reservation.After(q.WallTime(), config.Seconds(runSeconds)),
	}
}

// windowForbids reports whether a maintenance window that covers the machine is open, or opens
// before the end of a task that would start now.
func (q *queue) windowForbids(task *reservation.Task) bool {
	m := q.Records[q.id]
	if m == nil {
		return false
	}
	end := clusterstate.ReservedEnd(q.Reservations.Holds[q.id], task)
	return q.InWindow(q.id, m.Record.Type, m.Record.Zone, q.WallTime(), end)
}

// hasReservation reports whether the machine has free resources for an attempt and a
// reservation for its job.
func (q *queue) hasReservation(e *entry) bool {
	job := q.Live[e.task.Job]
	return job != nil && q.free().Covers(e.need) && reservation.ReservedUntil(q.Reservations.Holds[q.id], q.ReservationFilter(&job.Job)) != 0
}

// preemptForReservations stops attempts that use the resources of a reservation on the
// machine, at the last moment that leaves time to save a checkpoint. It stops only
// attempts below the level of the reserved work: those that are less urgent and beyond
// their team's guarantee.
func (q *queue) preemptForReservations() {
	holds := q.Reservations.Holds[q.id]
	if len(holds) == 0 {
		return
	}
	now := q.WallTime()
	for i := range holds {
		if holds[i].ShouldStop(maxStopTime, now) { // otherwise it is far too early
			q.preemptForHold(&holds[i], now)
		}
	}
}

// preemptForHold stops attempts until the resources of one hold are free, once the hold
// begins so soon that the slowest of them only just has the time to save its checkpoint.
func (q *queue) preemptForHold(hold *reservation.Hold, now reservation.Moment) {
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
		q.preemptAttempt(e)
		q.Log.Info("stopped task for a reservation", "machine", q.id, "task", e.task, "reservation", hold.For)
	}
}

// reservationVictims lists the attempts that may be stopped on the machine for reserved
// work of a level: those that can save a checkpoint first, then those that have run
// least.
func (q *queue) reservationVictims(level resource.Level, name reservation.Name) []*entry {
	var victims []*entry
	for _, e := range ordered.Tasks(q.entries) {
		job := q.Live[e.task.Job]
		if e.present && !e.ended() && !e.kill && job != nil && e.level < level && !reservation.MatchesJob(q.ReservationOf(name), &job.Job) {
			victims = append(victims, e)
		}
	}
	q.sortVictims(victims)
	return victims
}
