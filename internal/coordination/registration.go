package coordination

import (
	"time"

	"damsonkeel/internal/bookkeeping"
	"damsonkeel/internal/protocol"
)

// register records that the machine's session may hold tasks. Nothing is
// started on it before that is durable, so that whoever takes work over knows
// every machine that has to be asked. It holds only in the present view:
// who reads the records after a new view misses none.
func (c *Core) register(q *queue, r protocol.Report) {
	if q.registering {
		return
	}
	q.registering = true
	var have protocol.Version
	if m := c.machines[q.id]; m != nil {
		have = m.epoch
	}
	rec := bookkeeping.Machine{Session: r.Session, Address: r.Address, Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	c.do(Commit{Tag: registerTag{q.id, r.Session}, Txn: protocol.Txn{
		If: []protocol.Condition{
			{Key: bookkeeping.ViewKey, Version: c.viewVersion},
			{Key: bookkeeping.MachineKey(q.id), Version: have},
		},
		Then: []protocol.Change{{Put: bookkeeping.MachineKey(q.id), Value: rec}},
	}})
}

func (c *Core) registrationDone(tag registerTag, _ Outcome) {
	if q := c.queues[tag.machine]; q != nil {
		q.registering = false // the followed record says whether it is there
	}
}

// machineRegistered takes over a machine's record. A changed record proves
// that everything placed by the one before is gone.
func (c *Core) machineRegistered(id protocol.MachineID, rec bookkeeping.Machine, version protocol.Version) {
	m := c.machines[id]
	if m != nil && m.epoch >= version {
		return
	}
	if m != nil {
		c.loseMachine(m)
	}
	m = &machineEntry{id: id, rec: rec, epoch: version, info: c.types[rec.Type], mine: map[protocol.TaskID]*placedTask{}}
	c.machines[id], c.sorted = m, nil
	c.owner.dirty = true
	if q := c.queues[id]; q != nil && q.session == rec.Session {
		q.epoch = version
	} else if q == nil && c.member() && c.keeper(id) == c.self {
		q = c.newQueue(id)
		q.registered(m)
		c.queues[id] = q
	}
}

// machineGone: the machine's record was deleted, on proof that nothing is left.
func (c *Core) machineGone(id protocol.MachineID) {
	m := c.machines[id]
	if m == nil {
		return
	}
	c.noteLoss(m)
	delete(c.machines, id)
	c.sorted = nil
	c.sessionFloor[id] = max(c.sessionFloor[id], m.rec.Session+1)
	c.loseMachine(m)
	if q := c.queues[id]; q != nil && q.session <= m.rec.Session {
		delete(c.queues, id)
	}
}

// expireSilent removes the records of machines whose lease is surely over:
// nobody entitled has answered them for longer than it lasts. That holds for a
// worker that came back with a new session and fell silent before it could be
// registered, too: its old record would be waited for without end.
func (c *Core) expireSilent() {
	if !c.acting() || !c.allAdopted() {
		for _, q := range c.queues {
			if !q.inventoried {
				q.lastAnswer = max(q.lastAnswer, c.now) // the count starts when all act by this term
			}
		}
		return
	}
	for id, q := range inOrder(c.queues) {
		m := c.machines[id]
		if m == nil || q.removing || c.since(q.lastAnswer) <= c.leaseOver() {
			continue
		}
		q.removing = true
		c.log.Info("machine silent for longer than its lease: its tasks are gone", "machine", id,
			"silent", c.since(q.lastAnswer).Round(time.Second))
		c.do(Commit{Tag: removeTag{id}, Txn: protocol.Txn{
			If: []protocol.Condition{
				{Key: bookkeeping.ViewKey, Version: c.viewVersion},
				{Key: bookkeeping.MachineKey(id), Version: m.epoch},
			},
			Then: []protocol.Change{{Delete: bookkeeping.MachineKey(id)}},
		}})
	}
}
