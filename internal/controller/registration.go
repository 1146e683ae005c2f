package controller

import (
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// machineRegistered takes over a machine's record. A changed record proves
// that everything placed by the one before is gone.
func (c *Core) machineRegistered(id protocol.MachineID, rec record.Machine, version protocol.Version) {
	m := c.machines[id]
	if m != nil && m.Epoch >= version {
		return
	}
	if m != nil {
		c.machineLost(m)
	}
	c.recordBoot(id, rec)
	m = &machineEntry{Machine: &clusterstate.Machine{ID: id, Record: rec, Epoch: version, Info: c.Types[rec.Type]}, ownAttempts: map[protocol.TaskID]*attempt{}}
	m.reserved = clusterstate.ReservedBy(c.reservations.Holds[id], c.WallTime())
	c.addMachine(m)
	c.owner.placementDue = true
	c.dispatcher.RecordUpdated(m.Machine)
	c.applyEarlyState(m)
}

// machineDeregistered: the machine's record was deleted, on proof that nothing is left.
func (c *Core) machineDeregistered(id protocol.MachineID) {
	m := c.machines[id]
	if m == nil {
		return
	}
	c.recordSpotLoss(m)
	c.removeMachine(id)
	c.machineLost(m)
	c.dispatcher.RecordDeleted(m.Machine)
}
