package dispatcher

import (
	"slices"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// Report answers a worker.
func (k *Keeper) Report(r protocol.Report) {
	info, known := k.Types[r.Type]
	if !known {
		k.Do(message.ReplyReport{Status: 503})
		return
	}
	if k.answerFrozen(&r) {
		return
	}
	q := k.queues[r.Machine]
	if q == nil {
		q = k.keep(r.Machine, r.Zone)
		if m := k.Records[r.Machine]; m != nil {
			q.registered(m)
		}
	}
	if r.Session < q.session || r.Session == q.session && r.Seq <= q.seq {
		k.answerOnly(q, &r)
		return
	}
	reply := protocol.ReportReply{Term: k.token(q), Orders: []protocol.Order{}}
	q.info, q.addr, q.zone = info, r.Address, r.Zone
	if r.Session > q.session {
		k.newSession(q, r.Session)
	}
	q.seq, q.ownSeq, q.lastAnswer, q.everSeen = r.Seq, r.Seq, k.Now, true
	if q.silence != message.SilenceNone {
		q.silence = message.SilenceNone
		k.touch(q)
	}
	if m := k.Records[q.id]; m == nil || m.Record.Session != r.Session {
		k.register(q, r)
	}
	k.takeReport(q, &r, true)
	q.sole = q.sole || r.Term >= k.ownToken(q)
	q.seen = max(q.seen, r.Term)
	k.giveInventory(q)
	q.push = false
	reply.Orders = k.orders(q, r.Term, false)
	k.reckonState(q) // now that all of it was just looked at
	k.Do(message.ReplyReport{Status: 200, Reply: reply})
}

// answerOnly answers a report and takes nothing from it. One that an answer to direct
// commands has overtaken is its worker's latest: it is answered, so its lease goes on
// from now, and whoever counts how long it has been silent has to know. Left out of
// that count, a machine was taken for gone up to a report's interval before its lease
// was over. Any other was held back by the network, and its worker has given it up: an
// answer would renew nothing that is known here.
func (k *Keeper) answerOnly(q *queue, r *protocol.Report) {
	if r.Session < q.session || r.Seq <= q.ownSeq {
		k.Log.Debug("a report held back by the network is not answered", "machine", q.id, "session", r.Session, "seq", r.Seq)
		k.Do(message.ReplyReport{Status: 503})
		return
	}
	k.keepAlive(q, r)
}

// keepAlive has a worker's lease go on, and nothing else but that what is over ends:
// who keeps a worker alive has what is cancelled there killed.
func (k *Keeper) keepAlive(q *queue, r *protocol.Report) {
	q.seq, q.ownSeq, q.lastAnswer = max(q.seq, r.Seq), r.Seq, k.Now
	reply := protocol.ReportReply{Term: k.token(q), Orders: []protocol.Order{}}
	for _, t := range r.Tasks {
		if t.State != protocol.TaskEnded && k.Live[t.Task.Job] == nil {
			reply.Orders = append(reply.Orders, protocol.Order{Op: protocol.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: new(float64)})
		}
	}
	k.Do(message.ReplyReport{Status: 200, Reply: reply})
}

// newSession: the worker's lease expired, and with it all it ran.
func (k *Keeper) newSession(q *queue, s protocol.Session) {
	if q.session != 0 {
		k.Log.Info("worker began a new session", "machine", q.id, "session", s)
	}
	// The old record stands until the new one is written; owners learn from
	// the record that everything of the old session is gone.
	q.session, q.seq, q.ownSeq, q.epoch, q.sole = s, 0, 0, 0, false
	k.touch(q)
	q.entries, q.ofJob = map[protocol.TaskID]*entry{}, map[protocol.JobID]int{}
	q.waiting = nil
	q.notice = nil
	q.images = nil
}

// takeReport brings the entries to what the worker says, and tells owners.
// Whether it came as a report of the worker's own, or as the answer to direct
// commands, decides what it settles: the worker sends its next report only
// after the answer to the one before has come or was given up, so that report
// settles starts in that answer. A direct answer may cross it.
func (k *Keeper) takeReport(q *queue, r *protocol.Report, own bool) {
	listed := make(map[protocol.TaskID]bool, len(r.Tasks))
	if own {
		for _, e := range q.entries {
			e.inAnswer = false
		}
	}
	for _, t := range r.Tasks {
		listed[t.Task] = true
		e := q.entries[t.Task]
		if e == nil || e.attempt != t.Attempt {
			if e != nil && !e.sent && !e.present {
				// The machine still lists another attempt of a task that is
				// queued here again: that one goes first.
				q.strays(k, t)
				continue
			}
			e = &entry{task: t.Task, attempt: t.Attempt, since: k.Now, level: resource.Levels - 1}
			if j := k.Live[t.Task.Job]; j != nil {
				e.estimate, e.need = k.Estimate(&j.Job), resource.Need(&j.Job)
				e.level = resource.LevelOf(j.Priority, k.Guarantees(j.Team)) // perhaps: its owner would know
				e.guessed = true
			}
			q.put(e)
		}
		k.takeTask(q, e, t)
	}
	missing := func(id protocol.TaskID, e *entry) bool { return !listed[id] && (e.sent || e.present) }
	for id, e := range ordered.TasksWhere(q.entries, missing) {
		switch {
		case e.present:
			// The worker lets go of an attempt only when told to, so this is
			// one that was told, or a worker that lost it: gone either way.
			q.drop(id)
			k.touch(q)
			if !e.ended() {
				e.state, e.cause = protocol.TaskEnded, protocol.EndError
				k.tell(q, e, message.WhatEnded)
			}
		case !own:
		case e.direct != 0 && r.Term <= e.direct:
			// Sent directly, no answer: it may be executed minutes late, so
			// not being listed proves nothing until the worker has seen a
			// later term.
			k.settleDirect(q, e)
		case e.kill || k.IsOver(id.Job):
			// Settled as below, and not wanted any more.
			q.drop(id)
			k.tell(q, e, message.WhatReleased)
		default:
			// The answer with the start was lost or dropped: settled by this
			// report. The same attempt goes back to be sent again.
			e.direct = 0
			k.putBack(q, e)
		}
	}
	k.takeNotice(q, r)
	if len(q.entries) > 0 {
		q.idleSince = k.Now
	}
}

// strays reports an attempt the queue does not know as ended or to be killed.
func (q *queue) strays(k *Keeper, t protocol.TaskReport) {
	k.Log.Error("machine lists another attempt of a queued task", "machine", q.id, "task", t.Task, "attempt", t.Attempt)
	e := q.entries[t.Task]
	k.dropWaiting(q, e)
	k.tell(q, e, message.WhatReleased)
	stray := &entry{task: t.Task, attempt: t.Attempt, present: true, state: t.State, cause: t.Cause, kill: t.State != protocol.TaskEnded, reap: true}
	q.put(stray)
}

func (k *Keeper) takeTask(q *queue, e *entry, t protocol.TaskReport) {
	first := !e.present
	before := e.state
	if !e.sent {
		// It was taken for not executed, and is there: left in the queue, it would be
		// released and placed elsewhere while it runs here.
		k.unqueue(q, e)
	}
	if first && !e.again {
		e.direct = 0 // that start has arrived: nothing is under way
	}
	e.sent, e.present = true, true
	e.state, e.cause, e.saved = t.State, t.Cause, t.Saved
	if first || before != e.state {
		k.touch(q)
	}
	if j := k.Live[e.task.Job]; j != nil && before != e.state && (e.state == protocol.TaskRunning || e.state == protocol.TaskWaiting) {
		q.hasImage(j.Image)
	}
	switch {
	case e.ended() && before != protocol.TaskEnded:
		k.noteResult(q, e)
		k.noteError(e)
		k.tell(q, e, message.WhatEnded)
	case e.state == protocol.TaskRunning && before != protocol.TaskRunning:
		e.runs = k.Now
		k.tellPresent(q, e, message.WhatRunning)
	case first:
		k.tellPresent(q, e, message.WhatPresent)
	}
}

// tellPresent passes on that an attempt is on its machine, once a report is
// known to be of this term: until then it may be one that the network held back
// for minutes, of attempts long gone, which their owners would have killed. The
// inventory says all of it.
func (k *Keeper) tellPresent(q *queue, e *entry, what message.What) {
	if q.known {
		k.tell(q, e, what)
	}
}

// noteResult notes what speaks for and against a machine: see judge.
func (k *Keeper) noteResult(q *queue, e *entry) {
	switch e.cause {
	case protocol.EndDone:
		clear(q.failed)
		k.setAside(q, false)
	case protocol.EndError:
		if _, noted := q.failed[e.task.Job]; !noted {
			q.failed[e.task.Job] = k.Now
		}
		for _, w := range slices.Clone(q.waiting) {
			if w.task.Job == e.task.Job {
				k.dropWaiting(q, w) // its owner places it elsewhere
				k.tell(q, w, message.WhatReleased)
			}
		}
	}
}

// takeNotice has a machine's work moved when the cloud is about to take it.
func (k *Keeper) takeNotice(q *queue, r *protocol.Report) {
	if r.NoticeS == nil {
		if q.notice != nil {
			q.notice = nil
			k.touch(q)
		}
		return
	}
	if q.notice == nil {
		k.touch(q)
		k.Log.Info("machine will be taken", "machine", q.id, "in_s", *r.NoticeS)
		k.releaseWaiting(q)
	}
	q.notice = r.NoticeS
	for _, e := range ordered.Tasks(q.entries) {
		if e.present && !e.ended() && !e.noticed {
			e.noticed = true
			k.tell(q, e, message.WhatNotice)
		}
	}
}
