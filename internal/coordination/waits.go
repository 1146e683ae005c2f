package coordination

import (
	"slices"

	"damsonkeel/internal/protocol"
)

// addWaits takes another controller's placements into the table.
func (c *Core) addWaits(ws []Wait) {
	for _, w := range ws {
		if m := c.machines[w.Machine]; m != nil {
			m.extra += w.Add
			m.taken.addAll(w.Taken)
		}
	}
}

// ownWaits is what placing tasks has added to a machine.
type ownWaits struct {
	add   float64
	taken uses
}

// sendWaits tells every peer, in one message, what placing a job has added.
func (c *Core) sendWaits(added map[protocol.MachineID]*ownWaits) {
	if len(added) == 0 {
		return
	}
	ws := make([]Wait, 0, len(added))
	for id, w := range inOrder(added) {
		ws = append(ws, Wait{id, w.add, w.taken.list()})
	}
	for name := range inOrder(c.peers) {
		if name != c.self {
			c.send(name, PeerMessage{Waits: ws})
		}
	}
}

// sendSummaries relays to every controller what became of its machines' queues
// and jobs.
func (c *Core) sendSummaries() {
	s := Summary{Acting: c.acting()}
	for id, q := range inOrder(c.queues) {
		if m := c.machines[id]; m != nil && q.epoch == m.epoch {
			s.Machines = append(s.Machines, c.state(q))
		}
	}
	for _, o := range inOrder(c.owner.jobs) {
		s.Progress = append(s.Progress, Progress{Job: o.ID, Done: o.nDone, Running: o.running})
	}
	s.Demand = c.demand()
	for name, p := range inOrder(c.peers) {
		mine := s
		mine.Upto = p.handled
		c.send(name, PeerMessage{Summary: &mine})
	}
}

// demandMost bounds what one job counts for: far more than is rented at once.
const demandMost = 1000

// demand lists the work of owned jobs that has not started and may start now.
// What a team's limit holds back is none.
func (c *Core) demand() []Demand {
	usage := c.teamUsage()
	var ds []Demand
	for _, o := range c.jobsInOrder() {
		if !o.loaded || o.unknown || o.notBefore > c.now {
			continue
		}
		n := c.mayStart(o, usage, min(int(o.pending.Count()), demandMost))
		c.use(o, usage, n)
		for _, t := range o.placed {
			if !t.started {
				n++
			}
		}
		if n > 0 {
			ds = append(ds, Demand{Job: o.ID, Zone: o.boundTo(), Unstarted: n, Level: int(o.level), EstimateS: c.estimateOf(o), OldestS: c.since(o.since).Seconds()})
		}
	}
	return ds
}

// summary takes a keeper's word on its machines.
func (c *Core) summary(from protocol.NodeName, s *Summary) {
	p := c.peers[from]
	if p == nil {
		return
	}
	if s.Acting {
		p.actingAt = c.now
	}
	p.unheard = slices.DeleteFunc(p.unheard, func(w ownWait) bool { return w.number <= s.Upto })
	unheard := map[protocol.MachineID]*ownWaits{}
	for _, w := range p.unheard {
		u := unheard[w.machine]
		if u == nil {
			u = &ownWaits{}
			unheard[w.machine] = u
		}
		u.add += w.add
		u.taken.add(w.level, w.taken)
	}
	for _, st := range s.Machines {
		m := c.machines[st.Machine]
		if m == nil || st.Epoch != m.epoch || c.keeper(m.id) != from {
			continue
		}
		if m.told.Closed && !st.Closed || m.told.Epoch == 0 {
			c.owner.dirty = true
		}
		m.told, m.at, m.extra = st, c.now, 0
		m.held, m.taken = uses{}, uses{}
		m.held.addAll(st.Uses)
		if u := unheard[st.Machine]; u != nil {
			m.extra, m.taken = u.add, u.taken
		}
	}
	clear(p.progress)
	for _, g := range s.Progress {
		p.progress[g.Job] = g
	}
	p.demand = s.Demand
	for _, o := range c.owner.jobs {
		if o.pending.Any() && o.notBefore <= c.now {
			c.owner.dirty = true
			break
		}
	}
}

// alone reports whether another controller is known to act now. One that may
// not act itself is then refused by the state service alone; otherwise the
// service is out for all, or nobody can be heard.
func (c *Core) alone() bool { return len(c.actingPeers()) > 0 }

// actingPeers lists the other controllers known to act now. They say so
// themselves; to one that they have left out of the view, in their answers.
func (c *Core) actingPeers() []protocol.NodeName {
	var names []protocol.NodeName
	for name, p := range inOrder(c.peers) {
		if name != c.self && p.actingAt != 0 && c.since(p.actingAt) < 3*c.op.RelayEvery {
			names = append(names, name)
		}
	}
	return names
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
	for name := range inOrder(c.peers) {
		if name != c.self {
			c.copy.left = append(c.copy.left, name)
		}
	}
	l := c.copy.left
	c.rng.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	c.askMoreTables()
}

func (c *Core) askMoreTables() {
	if c.copy.got || len(c.copy.left) == 0 || c.copy.asked != 0 && c.since(c.copy.asked) < c.op.CopyWait {
		return
	}
	n := min(2, len(c.copy.left))
	for _, name := range c.copy.left[:n] {
		c.send(name, PeerMessage{AskTable: true})
	}
	c.copy.left, c.copy.asked = c.copy.left[n:], c.now
}

// sendTable answers a restarted controller, if this table is filled.
func (c *Core) sendTable(to protocol.NodeName) {
	var ws []Wait
	for id, m := range inOrder(c.machines) {
		if m.told.Epoch == m.epoch {
			ws = append(ws, Wait{Machine: id, Add: m.wait()})
		}
	}
	if len(ws) > 0 {
		c.send(to, PeerMessage{Table: ws})
	}
}

// fillTable takes the first table that comes; what keepers say of their
// machines replaces it.
func (c *Core) fillTable(ws []Wait) {
	if c.copy.got {
		return
	}
	c.copy.got = true
	for _, w := range ws {
		if m := c.machines[w.Machine]; m != nil && m.told.Epoch == 0 && m.extra == 0 {
			m.extra = w.Add
		}
	}
}

// JobProgress is how far a live job is, as far as this controller knows.
func (c *Core) JobProgress(id protocol.JobID) (Progress, bool) {
	if o := c.owner.jobs[id]; o != nil {
		return Progress{Job: id, Done: o.nDone, Running: o.running}, true
	}
	for _, p := range c.peers {
		if g, ok := p.progress[id]; ok {
			return g, true
		}
	}
	return Progress{}, false
}
