package dispatcher

import (
	"damsonkeel/internal/controller/message"
)

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
