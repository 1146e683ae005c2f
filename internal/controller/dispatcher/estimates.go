package dispatcher

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/protocol"
)

// serviceSeconds is how long a service is taken to run.
const serviceSeconds = 1e8

// noteEstimateError learns how far estimates are off from a task that was started here
// and ran to its end. One that was found on its machine may have run for long: counted
// from then, estimates would seem good, and resources be expected to be free that are not.
func (q *queue) noteEstimateError(e *entry) {
	job := q.Live[e.task.Job]
	if !q.Reservations.Any || job == nil || e.arrival == 0 || e.runningSince == 0 || e.cause != protocol.EndDone {
		return
	}
	errors := q.Reservations.Errors[job.Class]
	if errors == nil {
		errors = &forecast.Errors{}
		q.Reservations.Errors[job.Class] = errors
	}
	errors.Note(q.Since(e.runningSince), e.estimate)
}

// reservationRuns lists what the machine runs, for the controller that chooses where
// resources are reserved.
func (q *queue) reservationRuns() []reservation.Run {
	if !q.Reservations.Any {
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

// reservationFor is the first reservation that is for a job; none if there is none.
func (env *environment) reservationFor(job *protocol.Job) (name reservation.Name) {
	for _, hold := range env.Reservations.List {
		if reservation.Matches(env.ReservationOf(hold.For), job) {
			return hold.For
		}
	}
	return name
}

// remainingSeconds is how long an attempt is expected to go on, by what has been learned
// of estimates; job is nil if it is not known.
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

// learnLevels takes over, for attempts found on the machine, the levels that their owners
// announce. A guessed one may be too high: the attempt would never be preempted.
func (q *queue) learnLevels(levelOf levelLookup) {
	if !q.Reservations.Any {
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
			q.touch()
		}
	}
}
