package dispatcher

import (
	"slices"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// mayHoldEndedJobs reports whether attempts of jobs that are over may still run here.
// The inventory waits for their end: it tells the owners of limited teams that
// nothing but what it lists takes part of a limit.
func (k *Dispatcher) mayHoldEndedJobs(q *queue) bool {
	for id, e := range q.entries {
		if e.sent && !e.ended() && k.Live[id.Job] == nil {
			return true
		}
	}
	return false
}

// giveInventory gives an inventory once in each term: when the worker has seen it,
// or at once if this controller has kept the queue without a break since the
// worker saw an earlier one. Else each restart of one controller would have
// the owners wait for all machines, and one that is cut off hold up all.
func (k *Dispatcher) giveInventory(q *queue) {
	if !k.handingOver(q) && k.Now >= q.inventoryAfter && q.recordVersion != 0 && q.exclusive && !q.inventoried && !k.mayHoldEndedJobs(q) {
		k.sendInventory(q)
	}
}

// InventoriesMost bounds the inventories given in one step.
const InventoriesMost = 500

// BeginInventories gives the inventories of queues kept without a break through a new
// view: at once if there are few, else with the next ticks, since that step is
// long enough.
func (k *Dispatcher) BeginInventories() {
	if k.inventoriesPending = slices.Clone(k.queuesInOrder()); len(k.inventoriesPending) <= InventoriesMost {
		k.GiveInventories()
	}
}

// GiveInventories goes on with the inventories of queues kept without a break.
func (k *Dispatcher) GiveInventories() {
	n := min(len(k.inventoriesPending), InventoriesMost)
	due := k.inventoriesPending[:n]
	k.inventoriesPending = k.inventoriesPending[n:]
	for _, q := range due {
		switch {
		case k.queues[q.id] != q:
		case k.Now < q.inventoryAfter:
			k.inventoriesPending = append(k.inventoriesPending, q)
		default:
			k.giveInventory(q)
		}
	}
	if len(k.inventoriesPending) == 0 {
		k.inventoriesPending = nil
	}
}

// sendInventory tells every owner what of its jobs is here.
func (k *Dispatcher) sendInventory(q *queue) {
	if !q.inventoryKnown {
		q.idleSince = k.Now
	}
	q.inventoried, q.inventoryKnown = true, true
	k.touch(q)
	byOwner := map[protocol.NodeName][]message.HeldAttempt{}
	for _, e := range ordered.Tasks(q.entries) {
		owner := k.entryOwner(e)
		if owner == "" {
			continue
		}
		h := message.HeldAttempt{Task: e.task, Attempt: e.attempt, Cause: e.cause, Saved: e.checkpointed}
		if e.present {
			h.State = e.state
		}
		if j := k.Live[e.task.Job]; j != nil && k.Limited(j.Team) {
			h.Team, h.Need = j.Team, resource.Need(&j.Job)
		}
		byOwner[owner] = append(byOwner[owner], h)
	}
	for name := range ordered.Of(k.View.Members) {
		k.Send(name, message.PeerMessage{Inventory: &message.Inventory{
			Term: k.View.Term, Tenure: k.ShardEpoch(q.id, q.zone), Machine: q.id, Epoch: q.recordVersion, Upto: k.handledPlaces[name], Held: byOwner[name],
		}})
	}
}
