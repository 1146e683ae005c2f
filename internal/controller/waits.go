package controller

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// pendingWait is a placement, or what placing has added to a machine at once, that
// has been announced and that the machine's keeper has not counted yet.
type pendingWait struct {
	owner  protocol.NodeName // that placed it
	number uint64            // of the owner's Place to the keeper that carries it
	add    float64           // processor seconds
	level  resource.Level
	taken  resource.Amount
}

// addPendingWait counts an announced placement until its keeper's word includes it.
func (c *Core) addPendingWait(m *machineEntry, w pendingWait) {
	p := c.peers[c.DispatcherOf(m.ID)]
	if p == nil {
		return
	}
	m.pendingWaits = append(m.pendingWaits, w)
	m.pendingSum += w.add
	m.pendingUses.Add(w.level, w.taken)
	p.updates.waits[m] = true
}

// recomputeWait sums what is announced anew: nothing is subtracted, so that nothing
// adds up.
func (m *machineEntry) recomputeWait() {
	m.pendingSum, m.pendingUses = 0, resource.Uses{}
	for _, w := range m.pendingWaits {
		m.pendingSum += w.add
		m.pendingUses.Add(w.level, w.taken)
	}
}

// dropPendingWaits undoes the last n placements that this controller has just announced
// to nobody.
func (m *machineEntry) dropPendingWaits(n int) {
	m.pendingWaits = m.pendingWaits[:max(0, len(m.pendingWaits)-n)]
	m.recomputeWait()
}

// addWaits takes another controller's placements into the table, unless it
// holds their keeper's word on them already: messages of two peers may cross.
func (c *Core) addWaits(from protocol.NodeName, a *message.WaitsAdded) {
	if a.Term != c.View.Term {
		return // its keeper refuses them, or has told of them in this term
	}
	for _, w := range a.Waits {
		m := c.machines[w.Machine]
		if m == nil {
			continue
		}
		keeper := c.DispatcherOf(m.ID)
		n := a.Numbers[keeper]
		if p := c.peers[keeper]; p == nil || n <= p.updates.handled[from] {
			continue
		}
		for i, u := range w.Taken {
			add := 0.0
			if i == 0 {
				add = w.Add
			}
			c.addPendingWait(m, pendingWait{from, n, add, resource.Level(u.Level), resource.Amount{CPUs: u.CPUs, GPUs: u.GPUs, GB: u.GB}})
		}
	}
}

// ownWaits is what placing tasks has added to a machine.
type ownWaits struct {
	add   float64
	taken resource.Uses
}

// sendWaits tells every peer, in one message, what placing a job has added.
func (c *Core) sendWaits(added map[protocol.MachineID]*ownWaits) {
	if len(added) == 0 {
		return
	}
	a := &message.WaitsAdded{Term: c.View.Term, Numbers: map[protocol.NodeName]uint64{}}
	for id, w := range ordered.Of(added) {
		a.Waits = append(a.Waits, message.WaitChange{Machine: id, Add: w.add, Taken: message.LevelUses(&w.taken)})
		keeper := c.DispatcherOf(id)
		if p := c.peers[keeper]; p != nil {
			a.Numbers[keeper] = p.placed
		}
	}
	for name := range ordered.Of(c.peers) {
		if name != c.Self {
			c.Send(name, message.PeerMessage{Added: a})
		}
	}
}

// demandMost bounds what one job counts for: far more than is rented at once.
const demandMost = 1000

// demand lists the work of owned jobs that has not started and may start now.
// What a team's limit holds back is none.
func (c *Core) demand() []message.Demand {
	usage := c.teamUsage()
	var ds []message.Demand
	for _, o := range c.jobsInOrder() {
		if !o.loaded || o.unverified || o.notBefore > c.Now {
			continue
		}
		n := c.mayStart(o, usage, min(o.mayTry(int(o.pending.Count())), demandMost))
		c.addUse(o, usage, n)
		n += o.waiting
		if n > 0 {
			ds = append(ds, message.Demand{Job: o.ID, Zone: o.boundZone(), Unstarted: n, Level: int(o.level), EstimateS: c.estimateOf(o), OldestS: c.Since(o.since).Seconds()})
		}
	}
	return ds
}

// tableCopy is a restarted controller's search for a first table.
type tableCopy struct {
	left  []protocol.NodeName // not asked yet
	asked Time
	got   bool
}

// askTables has a restarted controller look for a table: it asks two peers, at
// random, and two more after each wait in vain.
func (c *Core) askTables() {
	c.tableCopy = tableCopy{}
	for name := range ordered.Of(c.peers) {
		if name != c.Self {
			c.tableCopy.left = append(c.tableCopy.left, name)
		}
	}
	l := c.tableCopy.left
	c.rng.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	c.askMoreTables()
}

func (c *Core) askMoreTables() {
	if c.tableCopy.got || len(c.tableCopy.left) == 0 || c.tableCopy.asked != 0 && c.Since(c.tableCopy.asked) < c.Op.CopyWait {
		return
	}
	n := min(2, len(c.tableCopy.left))
	for _, name := range c.tableCopy.left[:n] {
		c.Send(name, message.PeerMessage{AskTable: true})
	}
	c.tableCopy.left, c.tableCopy.asked = c.tableCopy.left[n:], c.Now
}

// sendTable answers a restarted controller, if this table is filled.
func (c *Core) sendTable(to protocol.NodeName) {
	var ws []message.WaitChange
	for id, m := range ordered.Of(c.machines) {
		if m.reported.Epoch == m.Epoch {
			ws = append(ws, message.WaitChange{Machine: id, Add: m.wait()})
		}
	}
	if len(ws) > 0 {
		c.Send(to, message.PeerMessage{Table: ws})
	}
}

// fillTable takes the first table that comes; what keepers say of their
// machines replaces it.
func (c *Core) fillTable(ws []message.WaitChange) {
	if c.tableCopy.got {
		return
	}
	c.tableCopy.got = true
	for _, w := range ws {
		if m := c.machines[w.Machine]; m != nil && m.reported.Epoch == 0 {
			m.copiedWait = w.Add
		}
	}
}

// progressOf is how far an owned job is.
func (c *Core) progressOf(o *ownedJob) message.Progress {
	g := message.Progress{Job: o.ID, Done: o.nDone, Running: o.running, Failing: o.failing}
	if c.reservations.Any {
		g.Level = int(o.level) + 1
	}
	return g
}

// JobProgress is how far a live job is, as far as this controller knows.
func (c *Core) JobProgress(id protocol.JobID) (message.Progress, bool) {
	if o := c.owner.jobs[id]; o != nil {
		return c.progressOf(o), true
	}
	if l := c.Live[id]; l != nil {
		if p := c.peers[c.OwnerOf(l)]; p != nil {
			g, ok := p.progress[id]
			return g, ok
		}
	}
	return message.Progress{}, false
}
