package waittable

import (
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// PeerUpdates is what is held of one peer's streams, and how far the peer holds
// this controller's.
type PeerUpdates struct {
	MachinesTo, JobsTo     replication.Cursor
	MachinesFrom, JobsFrom replication.Replica
	// HoldsTo and HoldsFrom number what is held, as it has it of this controller
	// and the other way round.
	HoldsTo, HoldsFrom uint64
	Short              bool       // the last message could not hold all changes of machines
	At                 clock.Time // when its word on machines was last brought up to date in this term
	// handled is, by owner, the last Place that the peer's word includes.
	handled map[protocol.NodeName]uint64
	// waits are the machines it keeps with placements that its word does not
	// include yet.
	waits map[*Machine]bool
	// early are states of machines whose records have not arrived here.
	early map[protocol.MachineID]message.MachineState
}

func newPeerUpdates() PeerUpdates {
	return PeerUpdates{handled: map[protocol.NodeName]uint64{}, waits: map[*Machine]bool{}, early: map[protocol.MachineID]message.MachineState{}}
}

// ApplyMachineState takes a keeper's word on one of its machines.
func (wt *Table) ApplyMachineState(from protocol.NodeName, p *Peer, st message.MachineState) {
	m := wt.Machines[st.Machine]
	switch {
	case st.Epoch == 0:
		if m != nil && wt.DispatcherOf(m.ID) == from {
			m.ReportedBy = nil
		}
	case m == nil || st.Epoch > m.Epoch:
		// Its record is still to come. The keeper does not tell it again.
		if len(p.Updates.early) < earlyMost {
			p.Updates.early[st.Machine] = st
		}
	case st.Epoch == m.Epoch && wt.DispatcherOf(m.ID) == from:
		if (m.Reported.Closed || m.Refused) && !st.Closed || m.Reported.Epoch == 0 {
			wt.PlacementDue = true
		}
		if st.Runs = withKnownRuns(m.Reported.Runs, st.Runs); !st.Heard && m.Reported.Epoch == m.Epoch {
			st.Runs = m.Reported.Runs // it has not heard the machine yet
		}
		m.Reported, m.ReportedBy, m.ReportedAt, m.copiedWait, m.Refused = st, p, wt.Now, 0, false
		m.AnnouncedUses = resource.Uses{}
		message.AddLevelUses(&m.AnnouncedUses, st.Uses)
	}
}

// earlyMost bounds the states kept for machines whose records have not
// arrived: more than are registered while a watch answers.
const earlyMost = 4096

// ApplyEarlyState takes what the keeper of a machine said of it before its record
// arrived here.
func (wt *Table) ApplyEarlyState(m *Machine) {
	keeper := wt.DispatcherOf(m.ID)
	p := wt.Peers[keeper]
	if p == nil {
		return
	}
	if st, ok := p.Updates.early[m.ID]; ok && st.Epoch <= m.Epoch {
		delete(p.Updates.early, m.ID)
		wt.ApplyMachineState(keeper, p, st)
	}
}

// withKnownRuns corrects what a keeper tells of what it found on a machine by what the
// one before told: since when it has run, its worker does not say. Without that
// all room held on the machines of a controller that ended would seem lost.
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

// BeginStreams begins a new term's streams with all peers.
func (wt *Table) BeginStreams() {
	for _, m := range wt.Machines {
		m.ReportedBy = nil
	}
	for _, p := range wt.Peers {
		t := &p.Updates
		t.MachinesTo, t.JobsTo = replication.Cursor{}, replication.Cursor{}
		t.MachinesFrom.Begin(uint64(wt.View.Term))
		t.JobsFrom.Begin(uint64(wt.View.Term))
		t.At, t.Short = 0, false
		t.HoldsTo, t.HoldsFrom = 0, 0
		clear(t.early)
	}
}
