package dispatcher

import (
	"context"
	"log/slog"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// applyHeartbeat reconciles the entries with the attempts that the worker lists, and
// notifies the owners. The parameter viaHeartbeat says whether the status came as a
// heartbeat or as the answer to direct commands, which decides what it settles. The
// worker sends its next heartbeat only after the reply to the previous one has arrived or
// timed out, so a heartbeat settles the starts in the previous reply. An answer to direct
// commands may cross that reply and does not settle them.
func (q *queue) applyHeartbeat(heartbeat *protocol.Heartbeat, viaHeartbeat bool) {
	if viaHeartbeat {
		q.tokens.needed = false
		for _, e := range q.entries {
			e.startInLastReply = false
		}
	}
	listed := make(map[protocol.TaskID]bool, len(heartbeat.Tasks))
	for i := range heartbeat.Tasks {
		listed[heartbeat.Tasks[i].Task] = true
		q.applyListedTask(&heartbeat.Tasks[i], heartbeat.Term)
	}
	missing := func(id protocol.TaskID, e *entry) bool { return !listed[id] && (e.sent || e.present) }
	for id, e := range ordered.TasksWhere(q.entries, missing) {
		q.applyMissingTask(id, e, heartbeat.Term, viaHeartbeat)
	}
	q.applyTerminationNotice(heartbeat)
	if len(q.entries) > 0 {
		q.idleSince = q.Now
	}
}

// applyListedTask applies the status of an attempt that the worker, which has seen the given
// fencing token, lists.
func (q *queue) applyListedTask(status *protocol.TaskStatus, fencingTokenSeen protocol.Term) {
	e := q.entries[status.Task]
	if e == nil || e.attempt != status.Attempt {
		if e != nil && !e.sent && !e.present {
			// The machine still lists another attempt of a task that is queued here again:
			// the listed attempt has to end first.
			q.replaceWithUnexpected(e, status, fencingTokenSeen)
			return
		}
		q.logFound(status, fencingTokenSeen)
		e = q.newFoundEntry(status, fencingTokenSeen)
		q.addEntry(e)
	}
	q.applyTaskStatus(e, status)
}

// logFound logs an attempt that the worker lists and this dispatcher has not started: as a
// warning if only this dispatcher can have started attempts since the inventory.
func (q *queue) logFound(status *protocol.TaskStatus, fencingTokenSeen protocol.Term) {
	q.statistics.foundAttempts++
	level := slog.LevelDebug
	if q.inventoryKnown && q.exclusive {
		level = slog.LevelWarn
	}
	q.Log.Log(context.Background(), level, "worker lists an attempt that was not started from here", "machine", q.id, "task", status.Task, "attempt", status.Attempt,
		"state", status.State, "token_seen", fencingTokenSeen, "token", q.fencingToken(), "agent_epoch", q.agentEpoch)
}

// newFoundEntry returns the entry of an attempt that was found on the machine, whose worker
// has seen the given fencing token. Its start may have been sent directly with any token up to
// that one. Its level is a guess, because only its owner has the actual level.
func (q *queue) newFoundEntry(status *protocol.TaskStatus, fencingTokenSeen protocol.Term) *entry {
	e := &entry{
		task: status.Task, attempt: status.Attempt, queuedSince: q.Now, level: resource.Levels - 1,
		directFencingToken: fencingTokenSeen,
	}
	if job := q.Live[status.Task.Job]; job != nil {
		e.estimate, e.need = q.Estimate(&job.Job), resource.Need(&job.Job)
		e.level = resource.LevelOf(job.Priority, q.HasGuarantee(job.Team))
		e.levelGuessed = true
	}
	return e
}

// replaceWithUnexpected releases a waiting attempt of a task of which the worker lists
// another attempt, and orders the listed attempt to be killed and forgotten.
func (q *queue) replaceWithUnexpected(e *entry, status *protocol.TaskStatus, fencingTokenSeen protocol.Term) {
	q.Log.Error("machine listed another attempt of a queued task", "machine", q.id, "task", status.Task, "attempt", status.Attempt)
	q.release(e)
	q.addEntry(&entry{
		task:               status.Task,
		attempt:            status.Attempt,
		directFencingToken: fencingTokenSeen,
		present:            true,
		state:              status.State,
		cause:              status.Cause,
		kill:               status.State != protocol.TaskEnded,
		forget:             true,
	})
}

// applyTaskStatus copies the status that the worker reports into the entry of an attempt,
// and notifies the owner if the attempt is listed for the first time, runs or has ended. An
// ended attempt has its direct start fenced, so that the worker may forget it.
func (q *queue) applyTaskStatus(e *entry, status *protocol.TaskStatus) {
	firstListed := !e.present
	previousState := e.state
	if !e.sent {
		// The start was assumed not to have been executed, but the attempt is on the
		// machine. Left in the queue, it would be released and placed elsewhere while it
		// runs here.
		q.dequeue(e)
	}
	e.sent, e.present = true, true
	e.state, e.cause, e.checkpointed = status.State, status.Cause, status.Checkpointed
	if firstListed || previousState != e.state {
		q.markChanged()
	}
	if job := q.Live[e.task.Job]; job != nil && previousState != e.state && (e.state == protocol.TaskRunning || e.state == protocol.TaskWaiting) {
		q.images.add(job.Image)
	}
	if e.ended() && q.Sharded() {
		q.fenceDirectStart(e)
	}
	switch {
	case e.ended() && previousState != protocol.TaskEnded:
		q.recordResult(e)
		q.recordEstimateError(e)
		q.notifyOwner(e, message.EventEnded)
	case e.state == protocol.TaskRunning && previousState != protocol.TaskRunning:
		e.runningSince = q.Now
		q.notifyPresent(e, message.EventRunning)
	case firstListed:
		q.notifyPresent(e, message.EventPresent)
	}
}

// applyMissingTask settles an attempt that was sent or present and that its worker, which
// has seen the given fencing token, does not list. While a direct start of it can still be
// executed, its absence proves nothing. After that, a present one has ended: it is removed,
// and its owner notified. One that was only sent is queued again or, if it was to be ended
// anyway, removed and reported as released. That requires a heartbeat, since an answer to
// direct commands settles nothing here.
func (q *queue) applyMissingTask(id protocol.TaskID, e *entry, fencingTokenSeen protocol.Term, viaHeartbeat bool) {
	switch {
	case !viaHeartbeat && !e.present:
	case e.mayArrive(fencingTokenSeen):
		q.fenceDirectStart(e)
	case e.present:
		// The worker forgets an attempt only when ordered to. Either it was ordered to
		// forget this one, or it lost it: the attempt has ended in both cases.
		q.removeEntry(id)
		q.markChanged()
		if !e.ended() {
			q.statistics.missingPresent++
			q.Log.Warn("worker no longer lists an attempt that had not ended", "machine", q.id, "task", id, "attempt", e.attempt, "state", e.state, "token_seen", fencingTokenSeen)
			e.state, e.cause = protocol.TaskEnded, protocol.EndError
			q.notifyOwner(e, message.EventEnded)
		}
	case e.kill || q.HasEnded(id.Job):
		// The start was not executed, as in the default case, and the attempt was to be
		// ended anyway.
		q.removeEntry(id)
		q.notifyOwner(e, message.EventReleased)
	default:
		// The reply with the start was lost or dropped, as this heartbeat proves. The same
		// attempt is queued to be sent again.
		e.directFencingToken = 0
		q.requeue(e)
	}
}
