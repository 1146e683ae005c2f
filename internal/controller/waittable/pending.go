package waittable

import (
	"slices"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// PendingWait is one placement, or several at once on one machine, that an owner has
// announced and that the state published by the machine's dispatcher does not include yet.
type PendingWait struct {
	Owner       protocol.NodeName // controller that made the placement
	PlaceNumber uint64            // number of the owner's Place message to the dispatcher with the placement
	CPUSeconds  float64           // wait that the placement adds, in processor seconds
	Level       resource.Level    // level of the placed tasks
	Need        resource.Amount   // resources that the placed tasks need
}

// AddPending adds a placement to the machine's pending placements, where it is counted until
// the state published by the machine's dispatcher includes it. It does nothing if the
// dispatcher is not in the view.
func (t *Table) AddPending(m *Machine, w PendingWait) {
	peer := t.Peers[t.DispatcherOf(m.ID)]
	if peer == nil {
		return
	}
	m.PendingWaits = append(m.PendingWaits, w)
	m.PendingSum += w.CPUSeconds
	m.PendingUses.Add(w.Level, w.Need)
	peer.Updates.pendingMachines[m] = true
}

// ApplyWaitsAdded adds the placements that another controller announced, except those that a
// published state of their dispatcher already includes: the messages of the other controller
// and of the dispatcher may arrive in either order. It ignores announcements of other terms and
// placements on machines that are not registered.
func (t *Table) ApplyWaitsAdded(from protocol.NodeName, announcement *message.WaitsAdded) {
	if announcement.Term != t.View.Term {
		return // the dispatcher refuses the placements, or its state of this term includes them
	}
	for _, w := range announcement.Waits {
		m := t.Machines[w.Machine]
		if m == nil {
			continue
		}
		dispatcher := t.DispatcherOf(m.ID)
		number := announcement.Numbers[dispatcher]
		if peer := t.Peers[dispatcher]; peer == nil || number <= peer.Updates.handledPlaces[from] {
			continue
		}
		for i, use := range w.Taken {
			add := 0.0
			if i == 0 {
				add = w.Add
			}
			t.AddPending(m, PendingWait{
				Owner: from, PlaceNumber: number, CPUSeconds: add,
				Level: resource.Level(use.Level), Need: resource.Amount{CPUs: use.CPUs, GPUs: use.GPUs, GB: use.GB},
			})
		}
	}
}

// UnannouncedWaits is the sum of the placements that this controller has made on a machine and
// not announced yet.
type UnannouncedWaits struct {
	CPUSeconds float64       // wait that the placements add, in processor seconds
	Uses       resource.Uses // resources that the placements use
}

// AnnounceWaits sends every peer one message with the waits and resource uses that the
// placements of one placing round add to each machine, so that the peers count them before the
// dispatchers publish them. It sends nothing if there are none.
func (t *Table) AnnounceWaits(added map[protocol.MachineID]*UnannouncedWaits) {
	if len(added) == 0 {
		return
	}
	announcement := &message.WaitsAdded{Term: t.View.Term, Numbers: map[protocol.NodeName]uint64{}}
	for id, w := range ordered.ByKey(added) {
		announcement.Waits = append(announcement.Waits, message.WaitChange{Machine: id, Add: w.CPUSeconds, Taken: message.LevelUses(&w.Uses)})
		dispatcher := t.DispatcherOf(id)
		if peer := t.Peers[dispatcher]; peer != nil {
			announcement.Numbers[dispatcher] = peer.LastPlaceNumber
		}
	}
	for name := range ordered.ByKey(t.Peers) {
		if name != t.Self {
			t.Send(name, message.PeerMessage{Added: announcement})
		}
	}
}

// dropPendingWaits drops pending placements on the machines of a peer when the view changes:
// those on machines to which the peer no longer dispatches, or dispatches in a new session,
// and those of owners whose session was replaced. No published state will ever include these
// placements.
func (t *Table) dropPendingWaits(dispatcher protocol.NodeName, peer *Peer, replaced map[protocol.NodeName]bool) {
	for m := range peer.Updates.pendingMachines {
		if replaced[dispatcher] || t.DispatcherOf(m.ID) != dispatcher {
			m.PendingWaits = nil
		} else {
			m.PendingWaits = removeWaits(m.PendingWaits, func(w PendingWait) bool { return replaced[w.Owner] })
		}
		m.recomputeWait()
		if len(m.PendingWaits) == 0 {
			delete(peer.Updates.pendingMachines, m)
		}
	}
	for owner, isReplaced := range replaced {
		if isReplaced {
			delete(peer.Updates.handledPlaces, owner)
		}
	}
}

// removeWaits returns the placements without those to drop, in a new slice, so that the old
// array can be garbage-collected.
func removeWaits(waits []PendingWait, drop func(PendingWait) bool) []PendingWait {
	var remaining []PendingWait
	for _, w := range waits {
		if !drop(w) {
			remaining = append(remaining, w)
		}
	}
	return remaining
}

// DropIncludedWaits drops the pending placements that the published states of a dispatcher,
// peer, now include. handled is, by owner, the number of the last Place message that the
// dispatcher has handled.
func (t *Table) DropIncludedWaits(peer *Peer, handled map[protocol.NodeName]uint64) {
	for owner, number := range handled {
		peer.Updates.handledPlaces[owner] = max(peer.Updates.handledPlaces[owner], number)
	}
	for m := range peer.Updates.pendingMachines {
		included := func(w PendingWait) bool { return w.PlaceNumber <= peer.Updates.handledPlaces[w.Owner] }
		if slices.ContainsFunc(m.PendingWaits, included) {
			m.PendingWaits = removeWaits(m.PendingWaits, included)
			m.recomputeWait()
		}
		if len(m.PendingWaits) == 0 {
			delete(peer.Updates.pendingMachines, m)
		}
	}
}
