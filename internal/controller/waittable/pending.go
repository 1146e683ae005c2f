package waittable

import (
	"slices"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// PendingWait is a placement, or several placements on one machine at once, that an
// owner has announced and that the machine's dispatcher has not yet included in the
// state it publishes.
type PendingWait struct {
	Owner  protocol.NodeName // controller that placed it
	Number uint64            // of the owner's Place message to the dispatcher that carries it
	Add    float64           // wait that it adds, in processor seconds
	Level  resource.Level
	Taken  resource.Amount
}

// AddPending counts an announced placement until the state that the machine's
// dispatcher publishes includes it.
func (t *Table) AddPending(m *Machine, w PendingWait) {
	p := t.Peers[t.DispatcherOf(m.ID)]
	if p == nil {
		return
	}
	m.PendingWaits = append(m.PendingWaits, w)
	m.PendingSum += w.Add
	m.PendingUses.Add(w.Level, w.Taken)
	p.Updates.waits[m] = true
}

// WaitsAdded adds the placements that another controller announced, except those that
// a published state of their dispatcher already includes: the messages of two peers may
// arrive in either order.
func (t *Table) WaitsAdded(from protocol.NodeName, a *message.WaitsAdded) {
	if a.Term != t.View.Term {
		return // the dispatcher refuses them, or has included them in its state of this term
	}
	for _, w := range a.Waits {
		m := t.Machines[w.Machine]
		if m == nil {
			continue
		}
		dispatcher := t.DispatcherOf(m.ID)
		number := a.Numbers[dispatcher]
		if p := t.Peers[dispatcher]; p == nil || number <= p.Updates.handled[from] {
			continue
		}
		for i, use := range w.Taken {
			add := 0.0
			if i == 0 {
				add = w.Add
			}
			t.AddPending(m, PendingWait{
				Owner: from, Number: number, Add: add,
				Level: resource.Level(use.Level), Taken: resource.Amount{CPUs: use.CPUs, GPUs: use.GPUs, GB: use.GB},
			})
		}
	}
}

// OwnWaits is the sum of the placements that this controller has added to a machine
// and not announced yet.
type OwnWaits struct {
	Add   float64       // wait, in processor seconds
	Taken resource.Uses // resources
}

// SendWaits announces to every peer, in one message, the placements of a job.
func (t *Table) SendWaits(added map[protocol.MachineID]*OwnWaits) {
	if len(added) == 0 {
		return
	}
	a := &message.WaitsAdded{Term: t.View.Term, Numbers: map[protocol.NodeName]uint64{}}
	for id, w := range ordered.Of(added) {
		a.Waits = append(a.Waits, message.WaitChange{Machine: id, Add: w.Add, Taken: message.LevelUses(&w.Taken)})
		dispatcher := t.DispatcherOf(id)
		if p := t.Peers[dispatcher]; p != nil {
			a.Numbers[dispatcher] = p.Placed
		}
	}
	for name := range ordered.Of(t.Peers) {
		if name != t.Self {
			t.Send(name, message.PeerMessage{Added: a})
		}
	}
}

// dropPendingWaits drops pending placements when the view changes: those on machines
// that this peer no longer dispatches to, or dispatches to in another session, and
// those of owners that have another session now. No published state will ever include
// them.
func (t *Table) dropPendingWaits(name protocol.NodeName, p *Peer, replaced map[protocol.NodeName]bool) {
	for m := range p.Updates.waits {
		if replaced[name] || t.DispatcherOf(m.ID) != name {
			m.PendingWaits = nil
		} else {
			m.PendingWaits = removeWaits(m.PendingWaits, func(w PendingWait) bool { return replaced[w.Owner] })
		}
		m.recomputeWait()
		if len(m.PendingWaits) == 0 {
			delete(p.Updates.waits, m)
		}
	}
	for owner, isReplaced := range replaced {
		if isReplaced {
			delete(p.Updates.handled, owner)
		}
	}
}

// removeWaits returns the placements without those to drop, in a slice of its own: the
// old array can be collected.
func removeWaits(waits []PendingWait, drop func(PendingWait) bool) []PendingWait {
	var remaining []PendingWait
	for _, w := range waits {
		if !drop(w) {
			remaining = append(remaining, w)
		}
	}
	return remaining
}

// DropCounted drops the pending placements that a dispatcher's published state includes
// now: handled is, by owner, the number of the last Place message that it has handled.
func (t *Table) DropCounted(p *Peer, handled map[protocol.NodeName]uint64) {
	for owner, number := range handled {
		p.Updates.handled[owner] = max(p.Updates.handled[owner], number)
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
