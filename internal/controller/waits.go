package controller

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// comingWait is a placement, or what placing has added to a machine at once, that
// has been announced and that the machine's keeper has not counted yet.
type comingWait struct {
	owner  protocol.NodeName // that placed it
	number uint64            // of the owner's Place to the keeper that carries it
	add    float64           // processor seconds
	level  resource.Level
	taken  resource.Amount
}

// expect counts an announced placement until its keeper's word includes it.
func (c *Core) expect(m *machineEntry, w comingWait) {
	p := c.peers[c.Keeper(m.ID)]
	if p == nil {
		return
	}
	m.coming = append(m.coming, w)
	m.extra += w.add
	m.taken.Add(w.level, w.taken)
	p.reports.waits[m] = true
}

// reckon sums what is announced anew: nothing is subtracted, so that nothing
// adds up.
func (m *machineEntry) reckon() {
	m.extra, m.taken = 0, resource.Uses{}
	for _, w := range m.coming {
		m.extra += w.add
		m.taken.Add(w.level, w.taken)
	}
}

// takeBack undoes the last n placements that this controller has just announced
// to nobody.
func (m *machineEntry) takeBack(n int) {
	m.coming = m.coming[:max(0, len(m.coming)-n)]
	m.reckon()
}

// addWaits takes another controller's placements into the table, unless it
// holds their keeper's word on them already: messages of two peers may cross.
func (c *Core) addWaits(from protocol.NodeName, a *message.Added) {
	if a.Term != c.View.Term {
		return // its keeper refuses them, or has told of them in this term
	}
	for _, w := range a.Waits {
		m := c.machines[w.Machine]
		if m == nil {
			continue
		}
		keeper := c.Keeper(m.ID)
		n := a.Numbers[keeper]
		if p := c.peers[keeper]; p == nil || n <= p.reports.handled[from] {
			continue
		}
		for i, u := range w.Taken {
			add := 0.0
			if i == 0 {
				add = w.Add
			}
			c.expect(m, comingWait{from, n, add, resource.Level(u.Level), resource.Amount{CPUs: u.CPUs, GPUs: u.GPUs, GB: u.GB}})
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
	a := &message.Added{Term: c.View.Term, Numbers: map[protocol.NodeName]uint64{}}
	for id, w := range ordered.Of(added) {
		a.Waits = append(a.Waits, message.Wait{Machine: id, Add: w.add, Taken: message.UsesIn(&w.taken)})
		keeper := c.Keeper(id)
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
		if !o.loaded || o.unknown || o.notBefore > c.Now {
			continue
		}
		n := c.mayStart(o, usage, min(o.mayTry(int(o.pending.Count())), demandMost))
		c.use(o, usage, n)
		n += o.waits
		if n > 0 {
			ds = append(ds, message.Demand{Job: o.ID, Zone: o.boundTo(), Unstarted: n, Level: int(o.level), EstimateS: c.estimateOf(o), OldestS: c.Since(o.since).Seconds()})
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
	c.copy = tableCopy{}
	for name := range ordered.Of(c.peers) {
		if name != c.Self {
			c.copy.left = append(c.copy.left, name)
		}
	}
	l := c.copy.left
	c.rng.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	c.askMoreTables()
}

func (c *Core) askMoreTables() {
	if c.copy.got || len(c.copy.left) == 0 || c.copy.asked != 0 && c.Since(c.copy.asked) < c.Op.CopyWait {
		return
	}
	n := min(2, len(c.copy.left))
	for _, name := range c.copy.left[:n] {
		c.Send(name, message.PeerMessage{AskTable: true})
	}
	c.copy.left, c.copy.asked = c.copy.left[n:], c.Now
}

// sendTable answers a restarted controller, if this table is filled.
func (c *Core) sendTable(to protocol.NodeName) {
	var ws []message.Wait
	for id, m := range ordered.Of(c.machines) {
		if m.reported.Epoch == m.Epoch {
			ws = append(ws, message.Wait{Machine: id, Add: m.wait()})
		}
	}
	if len(ws) > 0 {
		c.Send(to, message.PeerMessage{Table: ws})
	}
}

// fillTable takes the first table that comes; what keepers say of their
// machines replaces it.
func (c *Core) fillTable(ws []message.Wait) {
	if c.copy.got {
		return
	}
	c.copy.got = true
	for _, w := range ws {
		if m := c.machines[w.Machine]; m != nil && m.reported.Epoch == 0 {
			m.copied = w.Add
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
