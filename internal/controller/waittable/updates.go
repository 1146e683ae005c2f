package waittable

import (
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// maxEarlyStates is the maximum number of states of one peer that are kept for machines whose
// records have not arrived. It exceeds the number of machines that are registered while a watch
// request is open.
const maxEarlyStates = 4096

// PeerUpdates is the positions in the replicated streams between this controller and one peer,
// in both directions, and what is kept about the machines to which the peer dispatches.
type PeerUpdates struct {
	// MachinesTo and JobsTo are the peer's positions in this controller's streams;
	// MachinesFrom and JobsFrom are this controller's positions in the peer's streams.
	MachinesTo, JobsTo     replication.Cursor
	MachinesFrom, JobsFrom replication.Replica
	// HoldsTo is the number of this controller's list of holds that the peer has received,
	// and HoldsFrom the number of the peer's list that this controller has received.
	HoldsTo, HoldsFrom uint64
	Truncated          bool       // the last state update to the peer could not hold all machine changes
	MachinesReceivedAt clock.Time // when the peer's machine stream was last received in this term
	// handledPlaces is, by owner, the number of the last Place message that the peer's
	// published states include.
	handledPlaces map[protocol.NodeName]uint64
	// pendingMachines is the set of machines of the peer's shards with pending placements.
	pendingMachines map[*Machine]bool
	// earlyStates are the published states of machines whose records have not arrived yet.
	earlyStates map[protocol.MachineID]message.MachineState
}

func newPeerUpdates() PeerUpdates {
	return PeerUpdates{
		handledPlaces:   map[protocol.NodeName]uint64{},
		pendingMachines: map[*Machine]bool{},
		earlyStates:     map[protocol.MachineID]message.MachineState{},
	}
}

// ApplyMachineState applies the state that a dispatcher published for one of its machines.
// Epoch 0 means that the peer no longer dispatches to the machine. The state of a machine whose
// record of that epoch has not arrived is kept for ApplyEarlyState. A state of an earlier epoch
// is ignored, and so is one from a controller that does not dispatch to the machine.
func (t *Table) ApplyMachineState(from protocol.NodeName, peer *Peer, state message.MachineState) {
	m := t.Machines[state.Machine]
	switch {
	case state.Epoch == 0:
		if m != nil && t.DispatcherOf(m.ID) == from {
			m.StateFrom = nil
		}
	case m == nil || state.Epoch > m.Epoch:
		// Keep the state: the dispatcher does not publish it again.
		if len(peer.Updates.earlyStates) < maxEarlyStates {
			peer.Updates.earlyStates[state.Machine] = state
		}
	case state.Epoch == m.Epoch && t.DispatcherOf(m.ID) == from:
		t.replaceState(m, peer, state)
	}
}

// replaceState replaces the state of a machine by the one that peer, its dispatcher, published.
// If the machine may accept placements again, or has its first state, placement becomes due.
func (t *Table) replaceState(m *Machine, peer *Peer, state message.MachineState) {
	if (m.State.Closed || m.PlacementRefused) && !state.Closed || m.State.Epoch == 0 {
		t.PlacementDue = true
	}
	state.Runs = keepEarlierEnds(m.State.Runs, state.Runs)
	if !state.Heard && m.State.Epoch == m.Epoch {
		state.Runs = m.State.Runs // the new dispatcher has received no heartbeat yet
	}
	m.State, m.StateFrom, m.StateReceivedAt = state, peer, t.Now
	m.copiedWait, m.PlacementRefused = 0, false
	m.AnnouncedUses = resource.Uses{}
	message.AddLevelUses(&m.AnnouncedUses, state.Uses)
}

// ApplyEarlyState applies the state, if there is one, that a machine's dispatcher published
// before the machine's record arrived.
func (t *Table) ApplyEarlyState(m *Machine) {
	dispatcher := t.DispatcherOf(m.ID)
	peer := t.Peers[dispatcher]
	if peer == nil {
		return
	}
	if state, ok := peer.Updates.earlyStates[m.ID]; ok && state.Epoch <= m.Epoch {
		delete(peer.Updates.earlyStates, m.ID)
		t.ApplyMachineState(dispatcher, peer, state)
	}
}

// keepEarlierEnds limits the expected ends of the attempts that a dispatcher reports on a
// machine to those that the previous dispatcher published: a worker does not report how long
// an attempt has run, so a new dispatcher expects attempts to end too late. Without the
// correction, all holds on the machines of a controller that ended would seem impossible to
// keep.
func keepEarlierEnds(previous, current []reservation.Run) []reservation.Run {
	for i := range current {
		for _, r := range previous {
			if r.Task == current[i].Task && r.Attempt == current[i].Attempt {
				current[i].Ends = min(current[i].Ends, r.Ends)
				break
			}
		}
	}
	return current
}

// BeginStreams restarts the streams with all peers from their beginning, for a new term.
func (t *Table) BeginStreams() {
	for _, m := range t.Machines {
		m.StateFrom = nil
	}
	for _, peer := range t.Peers {
		updates := &peer.Updates
		updates.MachinesTo, updates.JobsTo = replication.Cursor{}, replication.Cursor{}
		updates.MachinesFrom.Begin(uint64(t.View.Term))
		updates.JobsFrom.Begin(uint64(t.View.Term))
		updates.MachinesReceivedAt, updates.Truncated = 0, false
		updates.HoldsTo, updates.HoldsFrom = 0, 0
		clear(updates.earlyStates)
	}
}
