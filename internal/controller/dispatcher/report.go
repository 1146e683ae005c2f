package dispatcher

import (
	"slices"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// Heartbeat answers a worker.
func (k *Dispatcher) Heartbeat(r protocol.Heartbeat) {
	info, known := k.Types[r.Type]
	if !known {
		k.Emit(message.ReplyHeartbeat{Status: 503})
		return
	}
	if k.answerDuringHandover(&r) {
		return
	}
	q := k.queues[r.Machine]
	if q == nil {
		q = k.addQueue(r.Machine, r.Zone)
		if m := k.Records[r.Machine]; m != nil {
			q.registered(m)
		}
	}
	if r.AgentEpoch < q.agentEpoch || r.AgentEpoch == q.agentEpoch && r.Seq <= q.lastSeq {
		k.answerOvertaken(q, &r)
		return
	}
	reply := protocol.HeartbeatReply{Term: k.fencingToken(q), Orders: []protocol.Order{}}
	q.info, q.addr, q.zone = info, r.Address, r.Zone
	if r.AgentEpoch > q.agentEpoch {
		k.beginAgentEpoch(q, r.AgentEpoch)
	}
	q.lastSeq, q.heartbeatSeq, q.lastAnswer, q.everSeen = r.Seq, r.Seq, k.Now, true
	if q.silence != message.SilenceNone {
		q.silence = message.SilenceNone
		k.touch(q)
	}
	if m := k.Records[q.id]; m == nil || m.Record.Session != r.AgentEpoch {
		k.register(q, r)
	}
	k.applyHeartbeat(q, &r, true)
	q.exclusive = q.exclusive || r.Term >= k.firstOwnToken(q)
	q.tokenSeen = max(q.tokenSeen, r.Term)
	k.giveInventory(q)
	q.directRequested = false
	reply.Orders = k.buildOrders(q, r.Term, false)
	k.computeState(q) // now that all of it was just looked at
	k.Emit(message.ReplyHeartbeat{Status: 200, Reply: reply})
}

// answerOvertaken answers a report and takes nothing from it. One that an answer to direct
// commands has overtaken is its worker's latest: it is answered, so its lease goes on
// placedBy now, and whoever counts how long it has been silent has to know. Left out of
// that count, a machine was taken for gone up to a report's interval before its lease
// was over. Any other was held back by the network, and its worker has given it up: an
// answer would renew nothing that is known here.
func (k *Dispatcher) answerOvertaken(q *queue, r *protocol.Heartbeat) {
	if r.AgentEpoch < q.agentEpoch || r.Seq <= q.heartbeatSeq {
		k.Log.Debug("a report held back by the network is not answered", "machine", q.id, "session", r.AgentEpoch, "seq", r.Seq)
		k.Emit(message.ReplyHeartbeat{Status: 503})
		return
	}
	k.answerWithKillsOnly(q, r)
}

// answerWithKillsOnly has a worker's lease go on, and nothing else but that what is over ends:
// who keeps a worker alive has what is cancelled there killed.
func (k *Dispatcher) answerWithKillsOnly(q *queue, r *protocol.Heartbeat) {
	q.lastSeq, q.heartbeatSeq, q.lastAnswer = max(q.lastSeq, r.Seq), r.Seq, k.Now
	reply := protocol.HeartbeatReply{Term: k.fencingToken(q), Orders: []protocol.Order{}}
	for _, t := range r.Tasks {
		if t.State != protocol.TaskEnded && k.Live[t.Task.Job] == nil {
			reply.Orders = append(reply.Orders, protocol.Order{Op: protocol.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: new(float64)})
		}
	}
	k.Emit(message.ReplyHeartbeat{Status: 200, Reply: reply})
}

// beginAgentEpoch: the worker's lease expired, and with it all it ran.
func (k *Dispatcher) beginAgentEpoch(q *queue, s protocol.AgentEpoch) {
	if q.agentEpoch != 0 {
		k.Log.Info("worker began a new session", "machine", q.id, "session", s)
	}
	// The old record stands until the new one is written; owners learn from
	// the record that everything of the old session is gone.
	q.agentEpoch, q.lastSeq, q.heartbeatSeq, q.recordVersion, q.exclusive = s, 0, 0, 0, false
	k.touch(q)
	q.entries, q.attemptsOfJob = map[protocol.TaskID]*entry{}, map[protocol.JobID]int{}
	q.waiting = nil
	q.noticeSeconds = nil
	q.images = nil
}

// applyHeartbeat brings the entries to what the worker says, and tells owners.
// Whether it came as a report of the worker's own, or as the answer to direct
// commands, decides what it settles: the worker sends its next report only
// after the answer to the one before has come or was given up, so that report
// settles starts in that answer. A direct answer may cross it.
func (k *Dispatcher) applyHeartbeat(q *queue, r *protocol.Heartbeat, own bool) {
	listed := make(map[protocol.TaskID]bool, len(r.Tasks))
	if own {
		for _, e := range q.entries {
			e.startInLastReply = false
		}
	}
	for _, t := range r.Tasks {
		listed[t.Task] = true
		e := q.entries[t.Task]
		if e == nil || e.attempt != t.Attempt {
			if e != nil && !e.sent && !e.present {
				// The machine still lists another attempt of a task that is
				// queued here again: that one goes first.
				q.isUnexpected(k, t)
				continue
			}
			e = &entry{task: t.Task, attempt: t.Attempt, queuedSince: k.Now, level: resource.Levels - 1}
			if j := k.Live[t.Task.Job]; j != nil {
				e.estimate, e.need = k.Estimate(&j.Job), resource.Need(&j.Job)
				e.level = resource.LevelOf(j.Priority, k.HasGuarantee(j.Team)) // perhaps: its owner would know
				e.levelGuessed = true
			}
			q.addEntry(e)
		}
		k.applyTaskStatus(q, e, t)
	}
	missing := func(id protocol.TaskID, e *entry) bool { return !listed[id] && (e.sent || e.present) }
	for id, e := range ordered.TasksWhere(q.entries, missing) {
		switch {
		case e.present:
			// The worker lets go of an attempt only when told to, so this is
			// one that was told, or a worker that lost it: gone either way.
			q.removeEntry(id)
			k.touch(q)
			if !e.ended() {
				e.state, e.cause = protocol.TaskEnded, protocol.EndError
				k.notifyOwner(q, e, message.EventEnded)
			}
		case !own:
		case e.directToken != 0 && r.Term <= e.directToken:
			// Sent directly, no answer: it may be executed minutes late, so
			// not being listed proves nothing until the worker has seen a
			// later term.
			k.settleDirect(q, e)
		case e.kill || k.HasEnded(id.Job):
			// TermAdopted as below, and not wanted any more.
			q.removeEntry(id)
			k.notifyOwner(q, e, message.EventReleased)
		default:
			// The answer with the start was lost or dropped: settled by this
			// heartbeat. The same attempt goes back to be sent again.
			e.directToken = 0
			k.requeue(q, e)
		}
	}
	k.applyTerminationNotice(q, r)
	if len(q.entries) > 0 {
		q.idleSince = k.Now
	}
}

// isUnexpected reports an attempt the queue does not know as ended or to be killed.
func (q *queue) isUnexpected(k *Dispatcher, t protocol.TaskStatus) {
	k.Log.Error("machine lists another attempt of a queued task", "machine", q.id, "task", t.Task, "attempt", t.Attempt)
	e := q.entries[t.Task]
	k.dropWaiting(q, e)
	k.notifyOwner(q, e, message.EventReleased)
	stray := &entry{task: t.Task, attempt: t.Attempt, present: true, state: t.State, cause: t.Cause, kill: t.State != protocol.TaskEnded, reap: true}
	q.addEntry(stray)
}

func (k *Dispatcher) applyTaskStatus(q *queue, e *entry, t protocol.TaskStatus) {
	first := !e.present
	before := e.state
	if !e.sent {
		// It was taken for not executed, and is there: left in the queue, it would be
		// released and placed elsewhere while it runs here.
		k.dequeue(q, e)
	}
	if first && !e.startResent {
		e.directToken = 0 // that start has arrived: nothing is under way
	}
	e.sent, e.present = true, true
	e.state, e.cause, e.checkpointed = t.State, t.Cause, t.Checkpointed
	if first || before != e.state {
		k.touch(q)
	}
	if j := k.Live[e.task.Job]; j != nil && before != e.state && (e.state == protocol.TaskRunning || e.state == protocol.TaskWaiting) {
		q.hasImage(j.Image)
	}
	switch {
	case e.ended() && before != protocol.TaskEnded:
		k.recordResult(q, e)
		k.noteError(e)
		k.notifyOwner(q, e, message.EventEnded)
	case e.state == protocol.TaskRunning && before != protocol.TaskRunning:
		e.runningSince = k.Now
		k.notifyPresent(q, e, message.EventRunning)
	case first:
		k.notifyPresent(q, e, message.EventPresent)
	}
}

// notifyPresent passes on that an attempt is on its machine, once a report is
// inventoryKnown to be of this term: until then it may be one that the network held back
// for minutes, of attempts long gone, which their owners would have killed. The
// inventory says all of it.
func (k *Dispatcher) notifyPresent(q *queue, e *entry, what message.EventKind) {
	if q.inventoryKnown {
		k.notifyOwner(q, e, what)
	}
}

// recordResult notes what speaks for and against a machine: see judge.
func (k *Dispatcher) recordResult(q *queue, e *entry) {
	switch e.cause {
	case protocol.EndDone:
		clear(q.failedJobs)
		k.setQuarantined(q, false)
	case protocol.EndError:
		if _, noted := q.failedJobs[e.task.Job]; !noted {
			q.failedJobs[e.task.Job] = k.Now
		}
		for _, w := range slices.Clone(q.waiting) {
			if w.task.Job == e.task.Job {
				k.dropWaiting(q, w) // its owner places it elsewhere
				k.notifyOwner(q, w, message.EventReleased)
			}
		}
	}
}

// applyTerminationNotice has a machine's work moved when the cloud is about to take it.
func (k *Dispatcher) applyTerminationNotice(q *queue, r *protocol.Heartbeat) {
	if r.NoticeS == nil {
		if q.noticeSeconds != nil {
			q.noticeSeconds = nil
			k.touch(q)
		}
		return
	}
	if q.noticeSeconds == nil {
		k.touch(q)
		k.Log.Info("machine will be taken", "machine", q.id, "in_s", *r.NoticeS)
		k.releaseWaiting(q)
	}
	q.noticeSeconds = r.NoticeS
	for _, e := range ordered.Tasks(q.entries) {
		if e.present && !e.ended() && !e.noticed {
			e.noticed = true
			k.notifyOwner(q, e, message.EventNotice)
		}
	}
}
