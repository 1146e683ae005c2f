package dispatcher

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/protocol"
)

// serviceSeconds is the run time assumed for a service, which has no end of its own.
const serviceSeconds = 1e8

// recordEstimateError adds the run time and the estimate of a task to the estimate errors
// of its job's class, if the task was started here and ran to completion and the
// reservation calendar has entries. A task that was found on its machine is not counted
// because it may have run for long before: measured from the time it was found, estimates
// would seem accurate, and resources would be expected to be free while they are in use.
func (q *queue) recordEstimateError(e *entry) {
	job := q.Live[e.task.Job]
	if !q.Reservations.HasEntries || job == nil || e.arrival == 0 || e.runningSince == 0 || e.cause != protocol.EndDone {
		return
	}
	classErrors := q.Reservations.Errors[job.Class]
	if classErrors == nil {
		classErrors = &forecast.EstimateErrors{}
		q.Reservations.Errors[job.Class] = classErrors
	}
	classErrors.Note(q.Since(e.runningSince), e.estimate)
}

// reservationRuns lists the attempts that are or may be on the machine, with their
// resources and expected ends, for the controller that chooses where resources are
// reserved. The list is nil while the reservation calendar has no entry.
func (q *queue) reservationRuns() []reservation.Run {
	if !q.Reservations.HasEntries {
		return nil
	}
	now := q.WallTime()
	var runs []reservation.Run
	for _, e := range ordered.Tasks(q.entries) {
		if !e.sent || e.ended() {
			continue
		}
		run := reservation.Run{Task: e.task, Attempt: e.attempt, Need: e.need, Level: e.level, Sure: e.arrival != 0}
		job := q.Live[e.task.Job]
		if job != nil {
			run.For = q.reservationFor(&job.Job)
		}
		run.Ends = reservation.After(now, config.Seconds(q.remainingSeconds(e, job)))
		runs = append(runs, run)
	}
	return runs
}

// reservationFor returns the name of the reservation of the first hold in the list of holds
// whose reservation matches a job; empty if there is none.
func (env *environment) reservationFor(job *protocol.Job) (name reservation.Name) {
	for _, hold := range env.Reservations.List {
		if reservation.MatchesJob(env.ReservationOf(hold.For), job) {
			return hold.For
		}
	}
	return name
}

// remainingSeconds returns the expected remaining run time of an attempt in seconds, based
// on the recorded estimate errors; serviceSeconds stands for the run time of a service. The
// time that the attempt has run is subtracted; an attempt that does not run yet first
// fetches its image. The job is nil if its record is missing, and its run time then counts
// as 0.
func (q *queue) remainingSeconds(e *entry, job *clusterstate.LiveJob) float64 {
	remaining := 0.0
	if job != nil {
		remaining = q.ExpectedRunSeconds(&job.Job, e.estimate)
		if job.Kind == protocol.KindService {
			remaining = serviceSeconds
		}
	}
	if e.state == protocol.TaskRunning {
		remaining -= q.Since(e.runningSince).Seconds()
	} else if job != nil {
		remaining += q.fetchSeconds(job)
	}
	return remaining
}

// adoptAnnouncedLevels replaces the guessed levels of attempts found on the machine by
// the levels that their owners announce. A guessed level may be too high, and the attempt
// would then never be preempted.
func (q *queue) adoptAnnouncedLevels(levelOf levelLookup) {
	if !q.Reservations.HasEntries {
		return
	}
	for _, e := range q.entries {
		if !e.levelGuessed {
			continue
		}
		level, known := levelOf(e.task.Job)
		if !known {
			continue
		}
		e.levelGuessed = false
		if level != e.level {
			e.level = level
			q.markChanged()
		}
	}
}
