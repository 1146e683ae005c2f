package dispatcher

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/protocol"
)

// noteError learns how far estimates are off from a task that was started here
// and ran to its end. One that was found on its machine may have run for long:
// counted from then, estimates would seem good, and room clear that is not.
func (k *Dispatcher) noteError(e *entry) {
	j := k.Live[e.task.Job]
	if !k.Reservations.Any || j == nil || e.arrival == 0 || e.runningSince == 0 || e.cause != protocol.EndDone {
		return
	}
	f := k.Reservations.Errors[j.Class]
	if f == nil {
		f = &forecast.Errors{}
		k.Reservations.Errors[j.Class] = f
	}
	f.Note(k.Since(e.runningSince), e.estimate)
}

// runsOf lists what a machine runs, for the controller that chooses where room
// is held.
func (k *Dispatcher) runsOf(q *queue) []reservation.Run {
	if !k.Reservations.Any {
		return nil
	}
	now := k.WallTime()
	var runs []reservation.Run
	for _, e := range ordered.Tasks(q.entries) {
		j := k.Live[e.task.Job]
		if !e.sent || e.ended() {
			continue
		}
		r := reservation.Run{Task: e.task, Attempt: e.attempt, Need: e.need, Level: e.level, Sure: e.arrival != 0}
		left := 0.0
		if j != nil {
			left = k.ExpectedRunSeconds(&j.Job, e.estimate)
			for _, o := range k.Reservations.List {
				if reservation.Matches(k.ReservationOf(o.For), &j.Job) {
					r.For = o.For
					break
				}
			}
			if j.Kind == protocol.KindService {
				left = forever
			}
		}
		if e.state == protocol.TaskRunning {
			left -= k.Since(e.runningSince).Seconds()
		} else if j != nil {
			left += q.fetchS(j)
		}
		r.Ends = reservation.After(now, config.Seconds(left))
		runs = append(runs, r)
	}
	return runs
}

// learnLevels takes over, for attempts found on machines, how urgent their owners
// say they are. What is guessed may be too high: nothing of it would be stopped.
func (k *Dispatcher) learnLevels(q *queue, level levelOf) {
	if !k.Reservations.Any {
		return
	}
	for _, e := range q.entries {
		if !e.levelGuessed {
			continue
		}
		if l, ok := level(e.task.Job); ok {
			e.levelGuessed = false
			if l != e.level {
				e.level = l
				k.touch(q)
			}
		}
	}
}

// forever is how long a service runs, in seconds.
const forever = 1e8
