package dispatcher

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// ownerOf is the owner of an attempt's job: by its record, or, before that has arrived
// here, the controller that placed it. Without the latter, a dispatcher whose watch lags
// would leave queued attempts out of an inventory, and their owner would take them for
// lost.
func (q *queue) ownerOf(e *entry) protocol.NodeName {
	if job := q.Live[e.task.Job]; job != nil {
		e.placedBy = q.OwnerOf(job)
	}
	return e.placedBy
}

// notifyOwner sends an event to the present owner of an attempt's job.
func (q *queue) notifyOwner(e *entry, kind message.EventKind) {
	q.touch()
	owner := q.ownerOf(e)
	if owner == "" {
		return
	}
	event := &message.TaskEvent{
		TaskRef: message.TaskRef{Task: e.task, Attempt: e.attempt, Machine: q.id},
		What:    kind,
		Cause:   e.cause,
		Saved:   e.checkpointed,
	}
	if kind == message.EventNotice && q.noticeSeconds != nil {
		event.LeftS = *q.noticeSeconds
	}
	q.Send(owner, message.PeerMessage{Event: event})
}

// notifyPresent notifies an owner that an attempt is on its machine, once a heartbeat is
// known to be of this term: until then it may be one that the network delayed for
// minutes, of attempts lost long ago, which their owners would have killed. The inventory
// lists all of them.
func (q *queue) notifyPresent(e *entry, kind message.EventKind) {
	if q.inventoryKnown {
		q.notifyOwner(e, kind)
	}
}
