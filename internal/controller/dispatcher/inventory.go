package dispatcher

import (
	"slices"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// MaxInventoriesPerStep bounds the inventories sent in one step.
const MaxInventoriesPerStep = 500

// inventorySchedule lists the queues whose inventories of this term may be sent without
// waiting for a heartbeat: they have been held without a break, or were handed over.
type inventorySchedule struct {
	pending []*queue
}

// add has the inventory of a queue sent with one of the next ticks.
func (s *inventorySchedule) add(q *queue) { s.pending = append(s.pending, q) }

// take takes the next queues from the list, as many as one step may send.
func (s *inventorySchedule) take() []*queue {
	n := min(len(s.pending), MaxInventoriesPerStep)
	due := s.pending[:n]
	s.pending = s.pending[n:]
	return due
}

// BeginInventories sends the inventories of queues held without a break through a new
// view: at once if there are few, else with the next ticks, since that step is long
// enough.
func (d *Dispatcher) BeginInventories() {
	d.inventories.pending = slices.Clone(d.queues.inOrder())
	if len(d.inventories.pending) <= MaxInventoriesPerStep {
		d.SendInventories()
	}
}

// SendInventories goes on with the inventories that may be sent without a heartbeat.
func (d *Dispatcher) SendInventories() {
	for _, q := range d.inventories.take() {
		switch {
		case d.queues.get(q.id) != q:
		case d.Now < q.inventoryAfter:
			d.inventories.add(q)
		default:
			d.sendInventoryIfDue(q)
		}
	}
	if len(d.inventories.pending) == 0 {
		d.inventories.pending = nil
	}
}

// sendInventoryIfDue sends an inventory once in each term: when the worker has seen it, or
// at once if this controller has held the machine without a break since the worker saw an
// earlier one. Else each restart of one controller would have the owners wait for all
// machines, and one that is partitioned would delay all.
func (d *Dispatcher) sendInventoryIfDue(q *queue) {
	if !q.handingOver() && d.Now >= q.inventoryAfter && q.recordVersion != 0 && q.exclusive && !q.inventorySent && !q.mayRunEndedJobs() {
		d.sendInventory(q)
	}
}

// mayRunEndedJobs reports whether attempts of jobs that are over may still run here. The
// inventory waits for their end: it proves to the owners of teams with a limit that nothing
// but what it lists counts against the limit.
func (q *queue) mayRunEndedJobs() bool {
	for id, e := range q.entries {
		if e.sent && !e.ended() && q.Live[id.Job] == nil {
			return true
		}
	}
	return false
}

// sendInventory sends every owner the list of its jobs' attempts here.
func (d *Dispatcher) sendInventory(q *queue) {
	if !q.inventoryKnown {
		q.idleSince = d.Now
	}
	q.inventorySent, q.inventoryKnown = true, true
	q.touch()
	attempts := q.attemptsByOwner()
	for name := range ordered.Of(d.View.Members) {
		d.Send(name, message.PeerMessage{Inventory: &message.Inventory{
			Term:    d.View.Term,
			Tenure:  d.ShardEpoch(q.id, q.zone),
			Machine: q.id,
			Epoch:   q.recordVersion,
			Upto:    d.handledPlaces[name],
			Held:    attempts[name],
		}})
	}
}

// attemptsByOwner lists the attempts here by the owners of their jobs.
func (q *queue) attemptsByOwner() map[protocol.NodeName][]message.HeldAttempt {
	byOwner := map[protocol.NodeName][]message.HeldAttempt{}
	for _, e := range ordered.Tasks(q.entries) {
		owner := q.ownerOf(e)
		if owner == "" {
			continue
		}
		attempt := message.HeldAttempt{Task: e.task, Attempt: e.attempt, Cause: e.cause, Saved: e.checkpointed}
		if e.present {
			attempt.State = e.state
		}
		if job := q.Live[e.task.Job]; job != nil && q.Limited(job.Team) {
			attempt.Team, attempt.Need = job.Team, resource.Need(&job.Job)
		}
		byOwner[owner] = append(byOwner[owner], attempt)
	}
	return byOwner
}
