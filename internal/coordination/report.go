package coordination

import (
	"slices"

	"damsonkeel/internal/coordination/message"
	"damsonkeel/internal/coordination/room"
	"damsonkeel/internal/protocol"
)

// report answers a worker.
func (c *Core) report(r protocol.Report) {
	if r.Term > c.view.Term {
		c.do(message.ReplyReport{Status: 503}) // somebody has raised the term: stop until it is read
		return
	}
	if !c.acting() {
		c.do(message.ReplyReport{Status: 503})
		return
	}
	if keeper := c.keeper(r.Machine); keeper != c.self {
		c.noteStray(r.Machine)
		c.do(message.ReplyReport{Status: 421, ReportTo: keeper})
		return
	}
	info, known := c.types[r.Type]
	if !known {
		c.do(message.ReplyReport{Status: 503})
		return
	}
	q := c.queues[r.Machine]
	if q == nil {
		q = c.keep(r.Machine)
		if m := c.machines[r.Machine]; m != nil {
			q.registered(m)
		}
	}
	reply := protocol.ReportReply{Term: c.view.Term, Orders: []protocol.Order{}}
	if r.Session < q.session || r.Session == q.session && r.Seq <= q.seq {
		c.do(message.ReplyReport{Status: 200, Reply: reply}) // held back by the network: says nothing
		return
	}
	q.info, q.addr = info, r.Address
	if r.Session > q.session {
		c.newSession(q, r.Session)
	}
	q.seq, q.lastAnswer, q.everSeen = r.Seq, c.now, true
	if q.silence != message.SilenceNone {
		q.silence = message.SilenceNone
		c.touch(q)
	}
	if m := c.machines[q.id]; m == nil || m.rec.Session != r.Session {
		c.register(q, r)
	}
	c.takeReport(q, &r, true)
	q.sole = q.sole || r.Term == c.view.Term
	c.takeStock(q)
	q.push = false
	reply.Orders = c.orders(q, r.Term)
	c.reckonState(q) // now that all of it was just looked at
	c.do(message.ReplyReport{Status: 200, Reply: reply})
}

// newSession: the worker's lease expired, and with it all it ran.
func (c *Core) newSession(q *queue, s protocol.Session) {
	if q.session != 0 {
		c.log.Info("worker began a new session", "machine", q.id, "session", s)
	}
	// The old record stands until the new one is written; owners learn from
	// the record that everything of the old session is gone.
	q.session, q.seq, q.epoch, q.sole = s, 0, 0, false
	c.touch(q)
	q.entries = map[protocol.TaskID]*entry{}
	q.waiting = nil
	q.notice = nil
	q.images = nil
}

// takeReport brings the entries to what the worker says, and tells owners.
// Whether it came as a report of the worker's own, or as the answer to direct
// commands, decides what it settles: the worker sends its next report only
// after the answer to the one before has come or was given up, so that report
// settles starts in that answer. A direct answer may cross it.
func (c *Core) takeReport(q *queue, r *protocol.Report, own bool) {
	listed := make(map[protocol.TaskID]bool, len(r.Tasks))
	for _, t := range r.Tasks {
		listed[t.Task] = true
		e := q.entries[t.Task]
		if e == nil || e.attempt != t.Attempt {
			if e != nil && !e.sent && !e.present {
				// The machine still lists another attempt of a task that is
				// queued here again: that one goes first.
				q.strays(c, t)
				continue
			}
			e = &entry{task: t.Task, attempt: t.Attempt, since: c.now, level: room.Levels - 1}
			if j := c.live[t.Task.Job]; j != nil {
				e.estimate, e.need = c.estimate(&j.Job), room.Need(&j.Job)
				e.level = room.LevelOf(j.Priority, c.guarantees(j.Team)) // perhaps: its owner would know
				e.guessed = true
			}
			q.entries[t.Task] = e
		}
		c.takeTask(q, e, t)
	}
	missing := func(id protocol.TaskID, e *entry) bool { return !listed[id] && (e.sent || e.present) }
	for id, e := range tasksWhere(q.entries, missing) {
		switch {
		case e.present:
			// The worker lets go of an attempt only when told to, so this is
			// one that was told, or a worker that lost it: gone either way.
			delete(q.entries, id)
			c.touch(q)
			if !e.ended() {
				e.state, e.cause = protocol.TaskEnded, protocol.EndError
				c.tell(q, e, message.WhatEnded)
			}
		case !own:
		case e.direct != 0 && r.Term <= e.direct:
			// Sent directly, no answer: it may be executed minutes late, so
			// not being listed proves nothing until the worker has seen a
			// later term.
			c.settleDirect(q, e)
		case e.kill || c.isOver(id.Job):
			// Settled as below, and not wanted any more.
			delete(q.entries, id)
			c.tell(q, e, message.WhatReleased)
		default:
			// The answer with the start was lost or dropped: settled by this
			// report. The same attempt goes back to be sent again.
			e.direct = 0
			c.putBack(q, e)
		}
	}
	c.takeNotice(q, r)
	if len(q.entries) > 0 {
		q.idleSince = c.now
	}
}

// strays reports an attempt the queue does not know as ended or to be killed.
func (q *queue) strays(c *Core, t protocol.TaskReport) {
	c.log.Error("machine lists another attempt of a queued task", "machine", q.id, "task", t.Task, "attempt", t.Attempt)
	e := q.entries[t.Task]
	c.dropWaiting(q, e)
	c.tell(q, e, message.WhatReleased)
	stray := &entry{task: t.Task, attempt: t.Attempt, present: true, state: t.State, cause: t.Cause, kill: t.State != protocol.TaskEnded, reap: true}
	q.entries[t.Task] = stray
}

func (c *Core) takeTask(q *queue, e *entry, t protocol.TaskReport) {
	first := !e.present
	before := e.state
	e.sent, e.present = true, true
	e.state, e.cause, e.saved = t.State, t.Cause, t.Saved
	if first || before != e.state {
		c.touch(q)
	}
	if j := c.live[e.task.Job]; j != nil && before != e.state && (e.state == protocol.TaskRunning || e.state == protocol.TaskWaiting) {
		q.hasImage(j.Image)
	}
	switch {
	case e.ended() && before != protocol.TaskEnded:
		c.noteResult(q, e)
		c.noteError(e)
		c.tell(q, e, message.WhatEnded)
	case e.state == protocol.TaskRunning && before != protocol.TaskRunning:
		e.runs = c.now
		c.tellPresent(q, e, message.WhatRunning)
	case first:
		c.tellPresent(q, e, message.WhatPresent)
	}
}

// tellPresent passes on that an attempt is on its machine, once a report is
// known to be of this term: until then it may be one that the network held back
// for minutes, of attempts long gone, which their owners would have killed. The
// inventory says all of it.
func (c *Core) tellPresent(q *queue, e *entry, what message.What) {
	if q.known {
		c.tell(q, e, what)
	}
}

// noteResult watches for machines that fail what they start. Failures of
// several jobs in a row speak against the machine, of one job against the job.
func (c *Core) noteResult(q *queue, e *entry) {
	switch e.cause {
	case protocol.EndDone:
		clear(q.failed)
		if q.suspect {
			q.suspect = false
			c.touch(q)
			c.log.Info("machine works again", "machine", q.id)
		}
	case protocol.EndError:
		q.failed[e.task.Job] = true
		for _, w := range slices.Clone(q.waiting) {
			if w.task.Job == e.task.Job {
				c.dropWaiting(q, w) // its owner places it elsewhere
				c.tell(q, w, message.WhatReleased)
			}
		}
		if !q.suspect && len(q.failed) >= 2 {
			q.suspect = true
			c.touch(q)
			c.log.Info("machine set aside: it fails its tasks", "machine", q.id, "jobs", len(q.failed))
			c.releaseWaiting(q)
		}
	}
}

// takeNotice has a machine's work moved when the cloud is about to take it.
func (c *Core) takeNotice(q *queue, r *protocol.Report) {
	if r.NoticeS == nil {
		if q.notice != nil {
			q.notice = nil
			c.touch(q)
		}
		return
	}
	if q.notice == nil {
		c.touch(q)
		c.log.Info("machine will be taken", "machine", q.id, "in_s", *r.NoticeS)
		c.releaseWaiting(q)
	}
	q.notice = r.NoticeS
	for _, e := range tasksInOrder(q.entries) {
		if e.present && !e.ended() && !e.noticed {
			e.noticed = true
			c.tell(q, e, message.WhatNotice)
		}
	}
}
