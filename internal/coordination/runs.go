package coordination

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/coordination/calendar"
	"damsonkeel/internal/coordination/forecast"
	"damsonkeel/internal/coordination/room"
	"damsonkeel/internal/protocol"
)

// noteError learns how far estimates are off from a task that was started here
// and ran to its end. One that was found on its machine may have run for long:
// counted from then, estimates would seem good, and room clear that is not.
func (c *Core) noteError(e *entry) {
	j := c.live[e.task.Job]
	if !c.promised.any || j == nil || e.order == 0 || e.runs == 0 || e.cause != protocol.EndDone {
		return
	}
	f := c.promised.errors[j.Class]
	if f == nil {
		f = &forecast.Errors{}
		c.promised.errors[j.Class] = f
	}
	f.Note(c.since(e.runs), e.estimate)
}

// runsOf lists what a machine runs, for the controller that chooses where room
// is held.
func (c *Core) runsOf(q *queue) []calendar.Run {
	if !c.promised.any {
		return nil
	}
	now := c.moment()
	var runs []calendar.Run
	for _, e := range tasksInOrder(q.entries) {
		j := c.live[e.task.Job]
		if !e.sent || e.ended() {
			continue
		}
		r := calendar.Run{Task: e.task, Attempt: e.attempt, Need: e.need, Level: e.level, Sure: e.order != 0}
		left := 0.0
		if j != nil {
			left = c.likelyS(&j.Job, e.estimate)
			for _, o := range c.promised.list {
				if calendar.Matches(c.reservationOf(o.For), &j.Job) {
					r.For = o.For
					break
				}
			}
			if j.Kind == protocol.KindService {
				left = forever
			}
		}
		if e.state == protocol.TaskRunning {
			left -= c.since(e.runs).Seconds()
		} else if j != nil {
			left += q.fetchS(j)
		}
		r.Ends = calendar.After(now, config.Seconds(left))
		runs = append(runs, r)
	}
	return runs
}

// learnLevels takes over, for attempts found on machines, how urgent their owners
// say they are. What is guessed may be too high: nothing of it would be stopped.
func (c *Core) learnLevels(q *queue) {
	if !c.promised.any {
		return
	}
	for _, e := range q.entries {
		if !e.guessed {
			continue
		}
		if g, ok := c.JobProgress(e.task.Job); ok && g.Level > 0 {
			e.guessed = false
			if l := room.Level(g.Level - 1); l != e.level {
				e.level = l
				c.touch(q)
			}
		}
	}
}

// knewMore corrects what a keeper tells of what it found on a machine by what the
// one before told: since when it has run, its worker does not say. Without that
// all room held on the machines of a controller that ended would seem lost.
func knewMore(before, now []calendar.Run) []calendar.Run {
	for i := range now {
		for _, r := range before {
			if r.Task == now[i].Task && r.Attempt == now[i].Attempt {
				now[i].Ends = min(now[i].Ends, r.Ends)
				break
			}
		}
	}
	return now
}

// forever is how long a service runs, in seconds.
const forever = 1e8
