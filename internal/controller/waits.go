package controller

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// forgetProgress drops what peers told of a job that is over.
func (wt *waitTable) forgetProgress(id protocol.JobID) {
	for _, p := range wt.peers {
		delete(p.progress, id)
	}
}

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
func (wt *waitTable) addPendingWait(m *machineEntry, w pendingWait) {
	p := wt.peers[wt.DispatcherOf(m.ID)]
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
func (wt *waitTable) addWaits(from protocol.NodeName, a *message.WaitsAdded) {
	if a.Term != wt.View.Term {
		return // its keeper refuses them, or has told of them in this term
	}
	for _, w := range a.Waits {
		m := wt.machines[w.Machine]
		if m == nil {
			continue
		}
		keeper := wt.DispatcherOf(m.ID)
		n := a.Numbers[keeper]
		if p := wt.peers[keeper]; p == nil || n <= p.updates.handled[from] {
			continue
		}
		for i, u := range w.Taken {
			add := 0.0
			if i == 0 {
				add = w.Add
			}
			wt.addPendingWait(m, pendingWait{from, n, add, resource.Level(u.Level), resource.Amount{CPUs: u.CPUs, GPUs: u.GPUs, GB: u.GB}})
		}
	}
}

// ownWaits is what placing tasks has added to a machine.
type ownWaits struct {
	add   float64
	taken resource.Uses
}

// sendWaits tells every peer, in one message, what placing a job has added.
func (wt *waitTable) sendWaits(added map[protocol.MachineID]*ownWaits) {
	if len(added) == 0 {
		return
	}
	a := &message.WaitsAdded{Term: wt.View.Term, Numbers: map[protocol.NodeName]uint64{}}
	for id, w := range ordered.Of(added) {
		a.Waits = append(a.Waits, message.WaitChange{Machine: id, Add: w.add, Taken: message.LevelUses(&w.taken)})
		keeper := wt.DispatcherOf(id)
		if p := wt.peers[keeper]; p != nil {
			a.Numbers[keeper] = p.placed
		}
	}
	for name := range ordered.Of(wt.peers) {
		if name != wt.Self {
			wt.Send(name, message.PeerMessage{Added: a})
		}
	}
}

// demandMost bounds what one job counts for: far more than is rented at once.
const demandMost = 1000

// demand lists the work of owned jobs that has not started and may start now.
// What a team's limit holds back is none.
func (pl *placer) demand() []message.Demand {
	usage := pl.jobs.teamUsage()
	var ds []message.Demand
	for _, o := range pl.jobs.jobsInOrder() {
		if !o.loaded || o.unverified || o.notBefore > pl.Now {
			continue
		}
		n := pl.mayStart(o, usage, min(o.mayTry(int(o.pending.Count())), demandMost))
		pl.jobs.addUse(o, usage, n)
		n += o.waiting
		if n > 0 {
			ds = append(ds, message.Demand{Job: o.ID, Zone: o.boundZone(), Unstarted: n, Level: int(o.level), EstimateS: pl.jobs.estimateOf(o), OldestS: pl.Since(o.since).Seconds()})
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
func (wt *waitTable) askTables() {
	wt.tableCopy = tableCopy{}
	for name := range ordered.Of(wt.peers) {
		if name != wt.Self {
			wt.tableCopy.left = append(wt.tableCopy.left, name)
		}
	}
	l := wt.tableCopy.left
	wt.rng.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	wt.askMoreTables()
}

func (wt *waitTable) askMoreTables() {
	if wt.tableCopy.got || len(wt.tableCopy.left) == 0 || wt.tableCopy.asked != 0 && wt.Since(wt.tableCopy.asked) < wt.Op.CopyWait {
		return
	}
	n := min(2, len(wt.tableCopy.left))
	for _, name := range wt.tableCopy.left[:n] {
		wt.Send(name, message.PeerMessage{AskTable: true})
	}
	wt.tableCopy.left, wt.tableCopy.asked = wt.tableCopy.left[n:], wt.Now
}

// sendTable answers a restarted controller, if this table is filled.
func (wt *waitTable) sendTable(to protocol.NodeName) {
	var ws []message.WaitChange
	for id, m := range ordered.Of(wt.machines) {
		if m.reported.Epoch == m.Epoch {
			ws = append(ws, message.WaitChange{Machine: id, Add: m.wait()})
		}
	}
	if len(ws) > 0 {
		wt.Send(to, message.PeerMessage{Table: ws})
	}
}

// fillTable takes the first table that comes; what keepers say of their
// machines replaces it.
func (wt *waitTable) fillTable(ws []message.WaitChange) {
	if wt.tableCopy.got {
		return
	}
	wt.tableCopy.got = true
	for _, w := range ws {
		if m := wt.machines[w.Machine]; m != nil && m.reported.Epoch == 0 {
			m.copiedWait = w.Add
		}
	}
}

// progressOf is how far an owned job is.
func (oj *ownedJobs) progressOf(o *ownedJob) message.Progress {
	g := message.Progress{Job: o.ID, Done: o.nDone, Running: o.running, Failing: o.failing}
	if oj.Reservations.Any {
		g.Level = int(o.level) + 1
	}
	return g
}

// JobProgress is how far a live job is, as far as this controller knows.
func (oj *ownedJobs) JobProgress(id protocol.JobID) (message.Progress, bool) {
	if o := oj.byID[id]; o != nil {
		return oj.progressOf(o), true
	}
	if l := oj.Live[id]; l != nil {
		if p := oj.table.peers[oj.OwnerOf(l)]; p != nil {
			g, ok := p.progress[id]
			return g, ok
		}
	}
	return message.Progress{}, false
}
