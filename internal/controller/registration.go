package controller

import (
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// machineRegistered takes over a machine's record. A changed record proves
// that everything placed by the one before is gone.
func (c *Core) machineRegistered(id protocol.MachineID, rec record.Machine, version protocol.Version) {
	m := c.table.machines[id]
	if m != nil && m.Epoch >= version {
		return
	}
	if m != nil {
		c.jobs.machineLost(m)
	}
	c.planner.recordBoot(id, rec)
	m = &machineEntry{Machine: &clusterstate.Machine{ID: id, Record: rec, Epoch: version, Info: c.Types[rec.Type]}}
	m.reserved = clusterstate.ReservedBy(c.reservations.Holds[id], c.WallTime())
	c.table.addMachine(m)
	c.table.placementDue = true
	c.dispatcher.RecordUpdated(m.Machine)
	c.table.applyEarlyState(m)
}

// machineDeregistered: the machine's record was deleted, on proof that nothing is left.
func (c *Core) machineDeregistered(id protocol.MachineID) {
	m := c.table.machines[id]
	if m == nil {
		return
	}
	c.workload.recordSpotLoss(m)
	c.table.removeMachine(id)
	c.jobs.machineLost(m)
	c.dispatcher.RecordDeleted(m.Machine)
}
