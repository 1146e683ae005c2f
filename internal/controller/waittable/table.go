package waittable

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Table is this controller's table of expected waits: for each machine the state that its
// dispatcher last published, and the announced placements that this state does not include
// yet.
type Table struct {
	clusterstate.Module
	rng            *rand.Rand
	Machines       map[protocol.MachineID]*Machine
	sortedMachines []*Machine // sorted by ID
	SpotMachines   int        // number of registered spot machines
	Peers          map[protocol.NodeName]*Peer
	copySearch     copySearch
	PlacementDue   bool // a task may have become placeable since the last placing round
}

// Peer is the state of the present session of a controller, including this one.
type Peer struct {
	Session         protocol.LeaseID
	LastPlaceNumber uint64                              // number of the last Place message sent to it
	Updates         PeerUpdates                         // replicated streams between it and this controller
	Demand          []message.Demand                    // unstarted work of the jobs that the controller owns
	Progress        map[protocol.JobID]message.Progress // progress of the jobs that the controller owns
	// Configuration is the effective configuration revision that the controller last
	// reported, and ConfiguredAt the time of that report; 0 if it has reported none.
	Configuration record.ConfigurationRevision
	ConfiguredAt  clock.Time
}

// New returns a table; Reset must be called before its first use. The random numbers choose
// the peers from which a copy is requested.
func New(module clusterstate.Module, rng *rand.Rand) *Table {
	return &Table{Module: module, rng: rng}
}

// Reset drops all machines and peers.
func (t *Table) Reset() {
	t.Machines, t.sortedMachines, t.SpotMachines = map[protocol.MachineID]*Machine{}, nil, 0
	t.Peers = map[protocol.NodeName]*Peer{}
	t.PlacementDue = false
}

// RefreshTypes updates the machines to the types as last read from the cloud.
func (t *Table) RefreshTypes() {
	for _, m := range t.Machines {
		m.Info = t.Types[m.Record.Type]
	}
	t.PlacementDue = true
}

// InOrder lists the machines, sorted by ID. The slice belongs to the table: callers must not
// change it.
func (t *Table) InOrder() []*Machine { return t.sortedMachines }

// Add registers a machine and replaces one with the same ID, if there is one.
func (t *Table) Add(m *Machine) {
	t.Remove(m.ID)
	t.Machines[m.ID], t.Records[m.ID] = m, m.Machine
	i, _ := t.findMachine(m.ID)
	t.sortedMachines = slices.Insert(t.sortedMachines, i, m)
	if m.Record.Spot {
		t.SpotMachines++
	}
}

// Remove drops a machine from the table and from the machine records of the cluster state, if
// it is registered.
func (t *Table) Remove(id protocol.MachineID) {
	m := t.Machines[id]
	if m == nil {
		return
	}
	delete(t.Machines, id)
	delete(t.Records, id)
	if i, ok := t.findMachine(id); ok {
		t.sortedMachines = slices.Delete(t.sortedMachines, i, i+1)
	}
	if m.Record.Spot {
		t.SpotMachines--
	}
}

// findMachine returns the machine's position in the sorted list, or the position at which it
// would be inserted, and whether it is in the list.
func (t *Table) findMachine(id protocol.MachineID) (int, bool) {
	compare := func(m *Machine, id protocol.MachineID) int { return cmp.Compare(m.ID, id) }
	return slices.BinarySearchFunc(t.sortedMachines, id, compare)
}

// Usable reports whether tasks may be placed on a machine: it is open (see Machine.Open), no
// placement on it was refused since its last published state, and neither its type nor its zone
// is cordoned.
func (t *Table) Usable(m *Machine) bool {
	return m.Open() && !m.PlacementRefused && !t.PlaceCordoned(m.Record.Type, m.Record.Zone)
}

// AdoptPeers adopts the members of a view: it drops the peers whose sessions have ended or
// been replaced, with their pending placements, and adds the new sessions.
func (t *Table) AdoptPeers(view record.View) {
	replaced := map[protocol.NodeName]bool{}
	for name, peer := range t.Peers {
		replaced[name] = view.Members[name] != peer.Session
	}
	for name, peer := range t.Peers {
		t.dropPendingWaits(name, peer, replaced)
		if replaced[name] {
			delete(t.Peers, name)
		}
	}
	for name, session := range view.Members {
		if t.Peers[name] == nil {
			t.Peers[name] = newPeer(session)
		}
	}
}

func newPeer(session protocol.LeaseID) *Peer {
	return &Peer{Session: session, Progress: map[protocol.JobID]message.Progress{}, Updates: newPeerUpdates()}
}

// ForgetProgress drops the progress that peers reported for a job that has ended.
func (t *Table) ForgetProgress(id protocol.JobID) {
	for _, p := range t.Peers {
		delete(p.Progress, id)
	}
}

// HandleShardsMoved handles a change of the holders of the given shards: the states of the
// shards' machines no longer count as published by their present dispatchers, and the pending
// placements on these machines are dropped.
func (t *Table) HandleShardsMoved(moved map[sharding.ID]bool) {
	for id, m := range t.Machines {
		if !moved[sharding.ShardOf(t.Shards, id, m.Record.Zone)] {
			continue
		}
		m.StateFrom = nil
		if len(m.PendingWaits) > 0 {
			m.PendingWaits = nil
			m.recomputeWait()
			for _, p := range t.Peers {
				delete(p.Updates.pendingMachines, m)
			}
		}
	}
}

// IsStateRecent reports whether a machine's state was published by its present dispatcher in
// this term, and that dispatcher's machine stream was last received at most maxAge ago.
func (t *Table) IsStateRecent(m *Machine, maxAge time.Duration) bool {
	return m.StateFrom != nil && m.StateFrom == t.Peers[t.DispatcherOf(m.ID)] && t.Since(m.StateFrom.Updates.MachinesReceivedAt) <= maxAge
}
