package dispatcher

import (
	"slices"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// maxReleasedPerMessage bounds the attempts that one message says were released.
const maxReleasedPerMessage = 500

// Adopt goes over to a new view. If this controller was a member without a break, queues
// that stay here retain what they know; the rest is dropped, and the inventory of its new
// dispatcher will list it.
func (d *Dispatcher) Adopt(_ record.View, unbroken bool) {
	released := map[protocol.NodeName][]message.TaskRef{}
	for _, q := range d.queues.inOrder() {
		if d.DispatcherInZone(q.id, q.zone) != d.Self {
			d.dropQueue(q.id)
			continue
		}
		q.lastAnswer = d.lastPossibleAnswer(q)
		q.inventorySent, q.requests.registering, q.requests.removing = false, false, false
		if !unbroken {
			q.inventoryKnown, q.exclusive = false, false
		}
		for _, e := range q.dropLostWaiting(unbroken) {
			if owner := q.ownerOf(e); owner != "" && (unbroken || owner != d.Self) {
				// To itself only if it retained its jobs: else it knows no attempt.
				released[owner] = append(released[owner], message.TaskRef{Task: e.task, Attempt: e.attempt, Machine: q.id})
			}
		}
	}
	for owner, refs := range ordered.Of(released) {
		for part := range slices.Chunk(refs, maxReleasedPerMessage) {
			d.Send(owner, message.PeerMessage{Released: part})
		}
	}
	for id, m := range ordered.Of(d.Records) {
		if d.DispatcherOf(id) == d.Self && d.queues.get(id) == nil {
			d.addQueue(id, m.Record.Zone).applyRecord(m)
		}
	}
	d.allAdoptedSince = 0
	d.endHandovers()
}

// dropLostWaiting drops the waiting attempts that do not outlast a new view, and returns
// them. What waits here for a job that has another owner now waits on: the inventory lists
// it. Releasing it had the new owner place it anew once all machines had sent heartbeats, and
// began gangs again of which the rest had started.
func (q *queue) dropLostWaiting(unbroken bool) (dropped []*entry) {
	lost := func(e *entry) bool { return !unbroken || q.Live[e.task.Job] == nil }
	if !slices.ContainsFunc(q.waiting, lost) {
		return nil
	}
	q.touch()
	q.waiting = slices.DeleteFunc(q.waiting, func(e *entry) bool {
		if !lost(e) {
			return false
		}
		q.removeEntry(e.task)
		dropped = append(dropped, e)
		return true
	})
	return dropped
}
