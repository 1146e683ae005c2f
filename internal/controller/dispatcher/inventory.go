package dispatcher

import (
	"slices"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// MaxInventoriesPerStep is the maximum number of inventories sent in one step.
const MaxInventoriesPerStep = 500

// inventorySchedule lists the queues whose inventories of this term may be sent without
// waiting for a heartbeat, because the machines have been held without a break or belong to
// a shard that was acquired.
type inventorySchedule struct {
	pending []*queue
}

// add schedules the inventory of a queue to be sent on one of the next ticks.
func (s *inventorySchedule) add(q *queue) { s.pending = append(s.pending, q) }

// takeBatch removes the first MaxInventoriesPerStep queues from the list and returns them.
func (s *inventorySchedule) takeBatch() []*queue {
	n := min(len(s.pending), MaxInventoriesPerStep)
	due := s.pending[:n]
	s.pending = s.pending[n:]
	return due
}

// BeginInventories schedules the inventories of all queues at a new view; only machines
// held without a break through it can be inventoried at once, without a heartbeat of the
// new term. Up to MaxInventoriesPerStep inventories are sent at once, and more than that on
// the next ticks, because the step that adopts a view takes long enough already.
func (d *Dispatcher) BeginInventories() {
	d.inventories.pending = slices.Clone(d.queues.inOrder())
	if len(d.inventories.pending) <= MaxInventoriesPerStep {
		d.SendInventories()
	}
}

// SendInventories sends the next batch of scheduled inventories, as far as they are due
// (see sendInventoryIfDue). A machine that is no longer held is skipped, and one whose
// first inventory is not allowed yet is scheduled again.
func (d *Dispatcher) SendInventories() {
	for _, q := range d.inventories.takeBatch() {
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

// sendInventoryIfDue sends the inventory of a machine once per term: when the worker has
// seen the term or, if this controller has held the machine without a break since the
// worker saw an earlier term, at once. Otherwise each restart of one controller would
// make the owners wait for all machines, and one partitioned machine would delay all of
// them.
func (d *Dispatcher) sendInventoryIfDue(q *queue) {
	if !q.handingOver() && d.Now >= q.inventoryAfter && q.recordVersion != 0 && q.exclusive && !q.inventorySent && !q.mayRunEndedJobs() {
		d.sendInventory(q)
	}
}

// mayRunEndedJobs reports whether attempts of jobs that are not live may still run on the
// machine. The inventory is delayed until they have ended: it proves to the owners of teams
// with a limit that only the attempts it lists count against the limit.
func (q *queue) mayRunEndedJobs() bool {
	for id, e := range q.entries {
		if e.sent && !e.ended() && q.Live[id.Job] == nil {
			return true
		}
	}
	return false
}

// sendInventory sends every member the list of the attempts of its jobs that wait for this
// machine or are on it. From then on the machine's inventory is known.
func (d *Dispatcher) sendInventory(q *queue) {
	if !q.inventoryKnown {
		q.idleSince = d.Now
	}
	q.inventorySent, q.inventoryKnown = true, true
	q.markChanged()
	attempts := q.attemptsByOwner()
	for name := range ordered.ByKey(d.View.Members) {
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

// attemptsByOwner groups the attempts in the queue by the owners of their jobs.
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
		if job := q.Live[e.task.Job]; job != nil && q.MayHaveLimit(job.Team) {
			attempt.Team, attempt.Need = job.Team, resource.Need(&job.Job)
		}
		byOwner[owner] = append(byOwner[owner], attempt)
	}
	return byOwner
}
