package coordination

import (
	"damsonkeel/internal/coordination/message"
	"damsonkeel/internal/protocol"
)

// holdsOver reports whether attempts of jobs that are over may still run here.
// The inventory waits for their end: it tells the owners of limited teams that
// nothing but what it lists takes part of a limit.
func (c *Core) holdsOver(q *queue) bool {
	for id, e := range q.entries {
		if e.sent && !e.ended() && c.live[id.Job] == nil {
			return true
		}
	}
	return false
}

// takeStock gives an inventory once in each term: when the worker has seen it,
// or at once if this controller has kept the queue without a break since the
// worker saw an earlier one. Else each restart of one controller would have
// the owners wait for all machines, and one that is cut off hold up all.
func (c *Core) takeStock(q *queue) {
	if q.epoch != 0 && q.sole && !q.inventoried && !c.holdsOver(q) {
		c.sendInventory(q)
	}
}

// stocksMost bounds the inventories given in one step.
const stocksMost = 500

// takeStocks goes on with the inventories of queues kept without a break.
func (c *Core) takeStocks() {
	n := min(len(c.stockDue), stocksMost)
	for _, q := range c.stockDue[:n] {
		if c.queues[q.id] == q {
			c.takeStock(q)
		}
	}
	if c.stockDue = c.stockDue[n:]; len(c.stockDue) == 0 {
		c.stockDue = nil
	}
}

// sendInventory tells every owner what of its jobs is here.
func (c *Core) sendInventory(q *queue) {
	if !q.known {
		q.idleSince = c.now
	}
	q.inventoried, q.known = true, true
	c.touch(q)
	byOwner := map[protocol.NodeName][]message.Held{}
	for _, e := range tasksInOrder(q.entries) {
		owner := c.entryOwner(e)
		if owner == "" {
			continue
		}
		h := message.Held{Task: e.task, Attempt: e.attempt, Cause: e.cause, Saved: e.saved}
		if e.present {
			h.State = e.state
		}
		byOwner[owner] = append(byOwner[owner], h)
	}
	for name, p := range inOrder(c.peers) {
		c.send(name, message.PeerMessage{Inventory: &message.Inventory{
			Term: c.view.Term, Machine: q.id, Epoch: q.epoch, Upto: p.handled, Held: byOwner[name],
		}})
	}
}
