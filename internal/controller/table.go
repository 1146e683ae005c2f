package controller

import (
	"math/rand/v2"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// machineEntry is a registered machine as the records have it, and what the
// wait table holds of it.
type machineEntry struct {
	*clusterstate.Machine
	reported      message.MachineState // by its keeper
	reportedBy    *peer                // the keeper's session that told it in this term, if any
	reportedAt    Time                 // when that was
	pendingWaits  []pendingWait        // placements that its keeper's word does not include yet
	pendingSum    float64              // their waits
	pendingUses   resource.Uses        // what they take
	reserved      resource.Amount      // of what it has free: held for reservations now
	copiedWait    float64              // its wait by a peer's table, until its keeper is heard
	announcedUses resource.Uses        // what it was told to hold
	refused       bool                 // its keeper refused something and has not said since why
	lateRuns      int                  // tasks of this owner that ran too long there lately
	lastLateRun   Time                 // the last of them
}

// waitTable is this controller's table of expected waits: of each machine what its
// dispatcher last said, and the announced placements which that does not include yet.
type waitTable struct {
	clusterstate.Module
	rng            *rand.Rand
	machines       map[protocol.MachineID]*machineEntry
	sortedMachines []*machineEntry // in order of their names
	spotsUp        int             // of these, spot machines
	peers          map[protocol.NodeName]*peer
	tableCopy      tableCopy
	placementDue   bool // something may have become placeable
}

// peer is what is known of another controller's present session.
type peer struct {
	session  protocol.LeaseID
	placed   uint64      // number of the last Place sent to it
	updates  peerUpdates // its word on the machines it keeps
	demand   []message.Demand
	progress map[protocol.JobID]message.Progress
	// configuration is the revision that it says it acts by, and configuredAt when it
	// last said so; 0: never.
	configuration record.ConfigurationRevision
	configuredAt  Time
}

// reset forgets all machines and peers.
func (wt *waitTable) reset() {
	wt.machines, wt.sortedMachines, wt.spotsUp = map[protocol.MachineID]*machineEntry{}, nil, 0
	wt.peers = map[protocol.NodeName]*peer{}
	wt.placementDue = false
}

// refreshTypes takes over the machine types as last read from the cloud.
func (wt *waitTable) refreshTypes() {
	for _, m := range wt.machines {
		m.Info = wt.Types[m.Record.Type]
	}
	wt.placementDue = true
}
