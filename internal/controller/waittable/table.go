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

// Table is this controller's table of expected waits: of each machine what its
// dispatcher last said, and the announced placements which that does not include yet.
type Table struct {
	clusterstate.Module
	rng            *rand.Rand
	Machines       map[protocol.MachineID]*Machine
	sortedMachines []*Machine // in order of their names
	SpotMachines   int        // of these, spot machines
	Peers          map[protocol.NodeName]*Peer
	Copy           TableCopy
	PlacementDue   bool // something may have become placeable
}

// Peer is what is known of another controller's present session.
type Peer struct {
	Session  protocol.LeaseID
	Placed   uint64      // number of the last Place sent to it
	Updates  PeerUpdates // its word on the machines it keeps
	Demand   []message.Demand
	Progress map[protocol.JobID]message.Progress
	// Configuration is the revision that it says it acts by, and ConfiguredAt when it
	// last said so; 0: never.
	Configuration record.ConfigurationRevision
	ConfiguredAt  clock.Time
}

// New makes an empty table.
func New(p clusterstate.Module, rng *rand.Rand) *Table {
	return &Table{Module: p, rng: rng}
}

// Reset forgets all machines and peers.
func (wt *Table) Reset() {
	wt.Machines, wt.sortedMachines, wt.SpotMachines = map[protocol.MachineID]*Machine{}, nil, 0
	wt.Peers = map[protocol.NodeName]*Peer{}
	wt.PlacementDue = false
}

// RefreshTypes takes over the machine types as last read from the cloud.
func (wt *Table) RefreshTypes() {
	for _, m := range wt.Machines {
		m.Info = wt.Types[m.Record.Type]
	}
	wt.PlacementDue = true
}

// InOrder lists the machines by name.
func (wt *Table) InOrder() []*Machine { return wt.sortedMachines }

// Add puts a machine in its place, instead of another of its name if
// there is one.
func (wt *Table) Add(m *Machine) {
	wt.Remove(m.ID)
	wt.Machines[m.ID], wt.Records[m.ID] = m, m.Machine
	i, _ := wt.findMachine(m.ID)
	wt.sortedMachines = slices.Insert(wt.sortedMachines, i, m)
	if m.Record.Spot {
		wt.SpotMachines++
	}
}

func (wt *Table) Remove(id protocol.MachineID) {
	m := wt.Machines[id]
	if m == nil {
		return
	}
	delete(wt.Machines, id)
	delete(wt.Records, id)
	if i, ok := wt.findMachine(id); ok {
		wt.sortedMachines = slices.Delete(wt.sortedMachines, i, i+1)
	}
	if m.Record.Spot {
		wt.SpotMachines--
	}
}

func (wt *Table) findMachine(id protocol.MachineID) (int, bool) {
	return slices.BinarySearchFunc(wt.sortedMachines, id, func(m *Machine, id protocol.MachineID) int { return cmp.Compare(m.ID, id) })
}

// Usable reports whether tasks may be placed on a machine at all.
func (wt *Table) Usable(m *Machine) bool {
	return m.Open() && !m.Refused && !wt.PlaceClosed(m.Record.Type, m.Record.Zone)
}

func (wt *Table) AdoptPeers(v record.View) {
	replaced := map[protocol.NodeName]bool{}
	for name, p := range wt.Peers {
		replaced[name] = v.Members[name] != p.Session
	}
	for name, p := range wt.Peers {
		wt.dropPendingWaits(name, p, replaced)
		if replaced[name] {
			delete(wt.Peers, name)
		}
	}
	for name, session := range v.Members {
		if wt.Peers[name] == nil {
			wt.Peers[name] = &Peer{Session: session, Progress: map[protocol.JobID]message.Progress{}, Updates: newPeerUpdates()}
		}
	}
}

// ForgetProgress drops what peers told of a job that is over.
func (wt *Table) ForgetProgress(id protocol.JobID) {
	for _, p := range wt.Peers {
		delete(p.Progress, id)
	}
}

// ShardsMoved: what was told of the machines of some shards is no longer the word
// of the controller that holds them.
func (wt *Table) ShardsMoved(moved map[sharding.ID]bool) {
	for id, m := range wt.Machines {
		if !moved[sharding.Of(wt.Shards, id, m.Record.Zone)] {
			continue
		}
		m.ReportedBy = nil
		if len(m.PendingWaits) > 0 {
			m.PendingWaits = nil
			m.recomputeWait()
			for _, p := range wt.Peers {
				delete(p.Updates.waits, m)
			}
		}
	}
}

// Recent reports whether what is known of a machine is its keeper's word in this
// term, and that word is no older than so long.
func (wt *Table) Recent(m *Machine, d time.Duration) bool {
	return m.ReportedBy != nil && m.ReportedBy == wt.Peers[wt.DispatcherOf(m.ID)] && wt.Since(m.ReportedBy.Updates.At) <= d
}
