package waittable

import (
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// maxEarlyStates bounds the states kept for machines whose records have not arrived:
// more machines than are registered while a watch request is open.
const maxEarlyStates = 4096

// PeerUpdates is the positions in the replicated streams between this controller and
// one peer, in both directions, and the pending placements on the peer's machines.
type PeerUpdates struct {
	// MachinesTo and JobsTo are how far the peer has this controller's streams;
	// MachinesFrom and JobsFrom how far this controller has the peer's.
	MachinesTo, JobsTo     replication.Cursor
	MachinesFrom, JobsFrom replication.Replica
	// HoldsTo is the number of this controller's list of holds that the peer has, and
	// HoldsFrom that of the peer's list that this controller has.
	HoldsTo, HoldsFrom uint64
	Short              bool       // the last message could not hold all changes of machines
	At                 clock.Time // when the peer's machine stream was last received in this term
	// handled is, by owner, the last Place message that the peer's states include.
	handled map[protocol.NodeName]uint64
	// waits are the machines of the peer's shards with pending placements.
	waits map[*Machine]bool
	// early are the published states of machines whose records have not arrived here.
	early map[protocol.MachineID]message.MachineState
}

func newPeerUpdates() PeerUpdates {
	return PeerUpdates{
		handled: map[protocol.NodeName]uint64{},
		waits:   map[*Machine]bool{},
		early:   map[protocol.MachineID]message.MachineState{},
	}
}

// ApplyMachineState applies the state that a dispatcher published of one of its
// machines. Epoch 0 says that the peer no longer dispatches to the machine. A state of
// a machine whose record has not arrived is kept for ApplyEarlyState.
func (t *Table) ApplyMachineState(from protocol.NodeName, p *Peer, st message.MachineState) {
	m := t.Machines[st.Machine]
	switch {
	case st.Epoch == 0:
		if m != nil && t.DispatcherOf(m.ID) == from {
			m.StateFrom = nil
		}
	case m == nil || st.Epoch > m.Epoch:
		// The dispatcher does not publish this state again.
		if len(p.Updates.early) < maxEarlyStates {
			p.Updates.early[st.Machine] = st
		}
	case st.Epoch == m.Epoch && t.DispatcherOf(m.ID) == from:
		t.replaceState(m, p, st)
	}
}

// replaceState replaces the state of a machine by one that its dispatcher, p, published.
func (t *Table) replaceState(m *Machine, p *Peer, st message.MachineState) {
	if (m.State.Closed || m.Refused) && !st.Closed || m.State.Epoch == 0 {
		t.PlacementDue = true
	}
	st.Runs = withKnownRuns(m.State.Runs, st.Runs)
	if !st.Heard && m.State.Epoch == m.Epoch {
		st.Runs = m.State.Runs // the new dispatcher has received no heartbeat yet
	}
	m.State, m.StateFrom, m.StateReceivedAt = st, p, t.Now
	m.copiedWait, m.Refused = 0, false
	m.AnnouncedUses = resource.Uses{}
	message.AddLevelUses(&m.AnnouncedUses, st.Uses)
}

// ApplyEarlyState applies the state that a machine's dispatcher published before the
// machine's record arrived here.
func (t *Table) ApplyEarlyState(m *Machine) {
	dispatcher := t.DispatcherOf(m.ID)
	p := t.Peers[dispatcher]
	if p == nil {
		return
	}
	if st, ok := p.Updates.early[m.ID]; ok && st.Epoch <= m.Epoch {
		delete(p.Updates.early, m.ID)
		t.ApplyMachineState(dispatcher, p, st)
	}
}

// withKnownRuns corrects the expected ends of the attempts that a dispatcher found on a
// machine by those that the dispatcher before it published: a worker does not report how
// long an attempt has run. Without the correction, all holds on the machines of a
// controller that ended would seem impossible to keep.
func withKnownRuns(before, now []reservation.Run) []reservation.Run {
	for i := range now {
		for _, r := range before {
			if r.Task == now[i].Task && r.Attempt == now[i].Attempt {
				now[i].Ends = min(now[i].Ends, r.Ends)
				break
			}
		}
	}
	return now
}

// BeginStreams starts the streams of a new term with all peers from their beginning.
func (t *Table) BeginStreams() {
	for _, m := range t.Machines {
		m.StateFrom = nil
	}
	for _, p := range t.Peers {
		updates := &p.Updates
		updates.MachinesTo, updates.JobsTo = replication.Cursor{}, replication.Cursor{}
		updates.MachinesFrom.Begin(uint64(t.View.Term))
		updates.JobsFrom.Begin(uint64(t.View.Term))
		updates.At, updates.Short = 0, false
		updates.HoldsTo, updates.HoldsFrom = 0, 0
		clear(updates.early)
	}
}
