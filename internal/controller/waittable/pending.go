package waittable

import (
	"slices"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// PendingWait is a placement, or what placing has added to a machine at once, that
// has been announced and that the machine's keeper has not counted yet.
type PendingWait struct {
	Owner  protocol.NodeName // that placed it
	Number uint64            // of the owner's Place to the keeper that carries it
	Add    float64           // processor seconds
	Level  resource.Level
	Taken  resource.Amount
}

// AddPending counts an announced placement until its keeper's word includes it.
func (wt *Table) AddPending(m *Machine, w PendingWait) {
	p := wt.Peers[wt.DispatcherOf(m.ID)]
	if p == nil {
		return
	}
	m.PendingWaits = append(m.PendingWaits, w)
	m.PendingSum += w.Add
	m.PendingUses.Add(w.Level, w.Taken)
	p.Updates.waits[m] = true
}

// WaitsAdded takes another controller's placements into the table, unless it
// holds their keeper's word on them already: messages of two peers may cross.
func (wt *Table) WaitsAdded(from protocol.NodeName, a *message.WaitsAdded) {
	if a.Term != wt.View.Term {
		return // its keeper refuses them, or has told of them in this term
	}
	for _, w := range a.Waits {
		m := wt.Machines[w.Machine]
		if m == nil {
			continue
		}
		keeper := wt.DispatcherOf(m.ID)
		n := a.Numbers[keeper]
		if p := wt.Peers[keeper]; p == nil || n <= p.Updates.handled[from] {
			continue
		}
		for i, u := range w.Taken {
			add := 0.0
			if i == 0 {
				add = w.Add
			}
			wt.AddPending(m, PendingWait{from, n, add, resource.Level(u.Level), resource.Amount{CPUs: u.CPUs, GPUs: u.GPUs, GB: u.GB}})
		}
	}
}

// OwnWaits is what placing tasks has added to a machine.
type OwnWaits struct {
	Add   float64
	Taken resource.Uses
}

// SendWaits tells every peer, in one message, what placing a job has added.
func (wt *Table) SendWaits(added map[protocol.MachineID]*OwnWaits) {
	if len(added) == 0 {
		return
	}
	a := &message.WaitsAdded{Term: wt.View.Term, Numbers: map[protocol.NodeName]uint64{}}
	for id, w := range ordered.Of(added) {
		a.Waits = append(a.Waits, message.WaitChange{Machine: id, Add: w.Add, Taken: message.LevelUses(&w.Taken)})
		keeper := wt.DispatcherOf(id)
		if p := wt.Peers[keeper]; p != nil {
			a.Numbers[keeper] = p.Placed
		}
	}
	for name := range ordered.Of(wt.Peers) {
		if name != wt.Self {
			wt.Send(name, message.PeerMessage{Added: a})
		}
	}
}

// DropPendingWaits forgets announced placements as a view changes: those on machines
// that this peer keeps no more, or keeps in another session, and those by owners
// that have another session now. None of them will be counted.
func (wt *Table) dropPendingWaits(name protocol.NodeName, p *Peer, replaced map[protocol.NodeName]bool) {
	for m := range p.Updates.waits {
		if replaced[name] || wt.DispatcherOf(m.ID) != name {
			m.PendingWaits = nil
		} else {
			m.PendingWaits = removeWaits(m.PendingWaits, func(w PendingWait) bool { return replaced[w.Owner] })
		}
		m.recomputeWait()
		if len(m.PendingWaits) == 0 {
			delete(p.Updates.waits, m)
		}
	}
	for owner, gone := range replaced {
		if gone {
			delete(p.Updates.handled, owner)
		}
	}
}

// removeWaits is what is left of announced placements, in a slice of its own size.
func removeWaits(ws []PendingWait, drop func(PendingWait) bool) []PendingWait {
	var left []PendingWait
	for _, w := range ws {
		if !drop(w) {
			left = append(left, w)
		}
	}
	return left
}

// DropCounted drops the announced placements that a keeper's word includes now.
func (wt *Table) DropCounted(p *Peer, handled map[protocol.NodeName]uint64) {
	for owner, n := range handled {
		p.Updates.handled[owner] = max(p.Updates.handled[owner], n)
	}
	for m := range p.Updates.waits {
		included := func(w PendingWait) bool { return w.Number <= p.Updates.handled[w.Owner] }
		if slices.ContainsFunc(m.PendingWaits, included) {
			m.PendingWaits = removeWaits(m.PendingWaits, included)
			m.recomputeWait()
		}
		if len(m.PendingWaits) == 0 {
			delete(p.Updates.waits, m)
		}
	}
}
