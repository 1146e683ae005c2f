package coordination

import (
	"time"

	"damsonkeel/internal/bookkeeping"
	"damsonkeel/internal/coordination/message"
	"damsonkeel/internal/protocol"
)

// register records that the machine's session may hold tasks. Nothing is
// started on it before that is durable, so that whoever takes work over knows
// every machine that has to be asked. It holds only in the present view:
// who reads the records after a new view misses none.
func (c *Core) register(q *queue, r protocol.Report) {
	if c.awaits(q, q.registering) {
		return
	}
	q.registering, q.asked = true, c.now
	var have protocol.Version
	if m := c.machines[q.id]; m != nil {
		have = m.epoch
	}
	rec := bookkeeping.Machine{Session: r.Session, Address: r.Address, Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	c.changeRecord(registerTag{q.id, r.Session}, q.id, have, &rec, c.inThisView())
}

// awaits reports whether what was asked for is still to be waited for. A
// transaction of this controller's own is answered; what the registrar was
// asked for shows in the records, or is asked for again.
func (c *Core) awaits(q *queue, asked bool) bool {
	return asked && !(c.inBlocks() && c.since(q.asked) > askAgain)
}

func (c *Core) registrationDone(tag registerTag, _ message.Outcome) {
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
	c.noteBoot(id, rec)
	m = &machineEntry{machine: &machine{id: id, rec: rec, epoch: version, info: c.types[rec.Type]}, mine: map[protocol.TaskID]*placedTask{}}
	m.reserved = reservedBy(c.promised.holds[id], c.moment())
	c.addMachine(m)
	c.owner.dirty = true
	if q := c.queues[id]; q != nil && q.session == rec.Session {
		q.epoch, q.registering = version, false
		c.touch(q)
	} else if q == nil && c.member() && c.keeper(id) == c.self {
		c.keep(id).registered(m)
	}
	c.takeEarly(m)
}

// machineGone: the machine's record was deleted, on proof that nothing is left.
func (c *Core) machineGone(id protocol.MachineID) {
	m := c.machines[id]
	if m == nil {
		return
	}
	c.noteLoss(m)
	c.removeMachine(id)
	c.sessionFloor[id] = max(c.sessionFloor[id], m.rec.Session+1)
	c.loseMachine(m)
	if q := c.queues[id]; q != nil && q.session <= m.rec.Session {
		c.dropQueue(id)
	}
}

// expireSilent notices which machines fall silent, and removes the records of
// those whose lease is surely over: nobody entitled has answered them for longer
// than it lasts. That holds for a worker that came back with a new session and
// fell silent before it could be registered, too: its old record would be waited
// for without end.
func (c *Core) expireSilent() {
	if !c.acting() || !c.allAdopted() {
		c.allSince = 0 // the count starts when all act by this term
	} else if c.allSince == 0 {
		c.allSince = c.now
	}
	lease := c.leaseOver()
	for _, q := range c.queuesInOrder() {
		quiet := c.since(c.answered(q))
		if s := c.silenceAfter(quiet); s != q.silence {
			q.silence = s
			c.touch(q)
		}
		if c.allSince == 0 || quiet <= lease || c.awaits(q, q.removing) {
			continue
		}
		m := c.machines[q.id]
		if m == nil {
			continue
		}
		q.removing, q.asked = true, c.now
		c.log.Info("machine silent for longer than its lease: its tasks are gone", "machine", q.id, "silent", quiet.Round(time.Second))
		c.changeRecord(removeTag{q.id}, q.id, m.epoch, nil, c.inThisView())
	}
}

// answered is since when nobody entitled can have answered a machine: since it
// was answered here, or, before its inventory of this term, since all act by
// this term. Until then an earlier keeper may answer it.
func (c *Core) answered(q *queue) Time {
	switch {
	case q.inventoried:
		return q.lastAnswer
	case c.allSince == 0:
		return c.now
	}
	return max(q.lastAnswer, c.allSince)
}
