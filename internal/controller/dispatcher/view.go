package dispatcher

import (
	"slices"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// maxReleasedPerMessage is the maximum number of released attempts in one message.
const maxReleasedPerMessage = 500

// AdoptView applies a new view. Queues of machines that other controllers now dispatch to
// are dropped, and machines newly dispatched to from here get queues. If this controller
// was a member without a break (continuous), the queues that stay here keep their state;
// otherwise their waiting attempts are dropped and their inventories count as unknown. The
// owners of dropped attempts are notified that these are released, and all handovers end.
// The inventory of a machine's new dispatcher will list the state that is dropped here.
func (d *Dispatcher) AdoptView(_ record.View, continuous bool) {
	released := map[protocol.NodeName][]message.TaskRef{}
	for _, q := range d.queues.inOrder() {
		if d.DispatcherInZone(q.id, q.zone) != d.Self {
			d.dropQueue(q.id)
			continue
		}
		q.lastAnswer = d.lastPossibleAnswer(q)
		q.inventorySent, q.requests.registering, q.requests.removing = false, false, false
		if !continuous {
			q.inventoryKnown, q.exclusive = false, false
		}
		for _, e := range q.dropLostWaiting(continuous) {
			if owner := q.ownerOf(e); owner != "" && (continuous || owner != d.Self) {
				// A message to this controller itself is sent only if it kept its jobs:
				// otherwise it has no record of any attempt.
				released[owner] = append(released[owner], message.TaskRef{Task: e.task, Attempt: e.attempt, Machine: q.id})
			}
		}
	}
	for owner, refs := range ordered.ByKey(released) {
		for part := range slices.Chunk(refs, maxReleasedPerMessage) {
			d.Send(owner, message.PeerMessage{Released: part})
		}
	}
	for id, m := range ordered.ByKey(d.Records) {
		if d.DispatcherOf(id) == d.Self && d.queues.get(id) == nil {
			d.addQueue(id, m.Record.Zone).applyRecord(m)
		}
	}
	d.allAdoptedSince = 0
	d.endHandovers()
}

// dropLostWaiting drops the waiting attempts that do not outlast a new view, and returns
// them: all if this controller was not a member without a break (continuous), and otherwise
// those of jobs that are not live. An attempt whose job has another owner now stays in the
// queue: the inventory lists it. Releasing it made the new owner place it again only after
// all machines had sent heartbeats, and restarted gangs whose other tasks had already
// started.
func (q *queue) dropLostWaiting(continuous bool) (dropped []*entry) {
	lost := func(e *entry) bool { return !continuous || q.Live[e.task.Job] == nil }
	if !slices.ContainsFunc(q.waiting, lost) {
		return nil
	}
	q.markChanged()
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
