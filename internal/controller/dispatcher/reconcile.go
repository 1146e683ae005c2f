package dispatcher

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// applyHeartbeat reconciles the entries with what the worker lists, and notifies owners.
// Whether it came as a heartbeat of the worker's own, or as the answer to direct commands,
// decides what it settles: the worker sends its next heartbeat only after the reply to
// the one before has come or was given up, so that heartbeat settles the starts in that
// reply. An answer to direct commands may cross it.
func (q *queue) applyHeartbeat(r *protocol.Heartbeat, own bool) {
	if own {
		for _, e := range q.entries {
			e.startInLastReply = false
		}
	}
	listed := make(map[protocol.TaskID]bool, len(r.Tasks))
	for i := range r.Tasks {
		listed[r.Tasks[i].Task] = true
		q.applyListedTask(&r.Tasks[i])
	}
	missing := func(id protocol.TaskID, e *entry) bool { return !listed[id] && (e.sent || e.present) }
	for id, e := range ordered.TasksWhere(q.entries, missing) {
		q.applyMissingTask(id, e, r.Term, own)
	}
	q.applyTerminationNotice(r)
	if len(q.entries) > 0 {
		q.idleSince = q.Now
	}
}

// applyListedTask takes over the status of an attempt that the worker lists.
func (q *queue) applyListedTask(t *protocol.TaskStatus) {
	e := q.entries[t.Task]
	if e == nil || e.attempt != t.Attempt {
		if e != nil && !e.sent && !e.present {
			// The machine still lists another attempt of a task that is queued here
			// again: that one goes first.
			q.replaceWithUnexpected(e, t)
			return
		}
		e = q.foundEntry(t)
		q.addEntry(e)
	}
	q.applyTaskStatus(e, t)
}

// foundEntry returns the entry of an attempt that was found on the machine. Its level is
// a guess: its owner would know.
func (q *queue) foundEntry(t *protocol.TaskStatus) *entry {
	e := &entry{task: t.Task, attempt: t.Attempt, queuedSince: q.Now, level: resource.Levels - 1}
	if job := q.Live[t.Task.Job]; job != nil {
		e.estimate, e.need = q.Estimate(&job.Job), resource.Need(&job.Job)
		e.level = resource.LevelOf(job.Priority, q.HasGuarantee(job.Team))
		e.levelGuessed = true
	}
	return e
}

// replaceWithUnexpected releases a waiting attempt of a task of which the worker lists
// another one, and has that one end.
func (q *queue) replaceWithUnexpected(e *entry, t *protocol.TaskStatus) {
	q.Log.Error("machine listed another attempt of a queued task", "machine", q.id, "task", t.Task, "attempt", t.Attempt)
	q.release(e)
	q.addEntry(&entry{
		task:    t.Task,
		attempt: t.Attempt,
		present: true,
		state:   t.State,
		cause:   t.Cause,
		kill:    t.State != protocol.TaskEnded,
		forget:  true,
	})
}

// applyTaskStatus takes over the status of an attempt, and notifies its owner of a change.
func (q *queue) applyTaskStatus(e *entry, t *protocol.TaskStatus) {
	first := !e.present
	before := e.state
	if !e.sent {
		// It was taken for not executed, and is there: left in the queue, it would be
		// released and placed elsewhere while it runs here.
		q.dequeue(e)
	}
	if first && !e.startResent {
		e.directFencingToken = 0 // that start has arrived: nothing is under way
	}
	e.sent, e.present = true, true
	e.state, e.cause, e.checkpointed = t.State, t.Cause, t.Checkpointed
	if first || before != e.state {
		q.touch()
	}
	if job := q.Live[e.task.Job]; job != nil && before != e.state && (e.state == protocol.TaskRunning || e.state == protocol.TaskWaiting) {
		q.images.add(job.Image)
	}
	switch {
	case e.ended() && before != protocol.TaskEnded:
		q.recordResult(e)
		q.noteEstimateError(e)
		q.notifyOwner(e, message.EventEnded)
	case e.state == protocol.TaskRunning && before != protocol.TaskRunning:
		e.runningSince = q.Now
		q.notifyPresent(e, message.EventRunning)
	case first:
		q.notifyPresent(e, message.EventPresent)
	}
}

// applyMissingTask settles an attempt that was sent, or was present, and is not listed by
// a worker that has seen a token.
func (q *queue) applyMissingTask(id protocol.TaskID, e *entry, fencingTokenSeen protocol.Term, own bool) {
	switch {
	case e.present:
		// The worker forgets an attempt only when commanded to, so this one was to be
		// forgotten, or the worker lost it: it has ended either way.
		q.removeEntry(id)
		q.touch()
		if !e.ended() {
			e.state, e.cause = protocol.TaskEnded, protocol.EndError
			q.notifyOwner(e, message.EventEnded)
		}
	case !own:
	case e.directFencingToken != 0 && fencingTokenSeen <= e.directFencingToken:
		// Sent directly, no answer: it may be executed minutes late, so not being listed
		// proves nothing until the worker has seen a later token.
		q.settleDirectStart(e)
	case e.kill || q.HasEnded(id.Job):
		// Settled as below, and to be ended anyway.
		q.removeEntry(id)
		q.notifyOwner(e, message.EventReleased)
	default:
		// The reply with the start was lost or dropped: settled by this heartbeat. The
		// same attempt goes back to be sent again.
		e.directFencingToken = 0
		q.requeue(e)
	}
}
