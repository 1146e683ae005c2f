package controller

import (
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// machineRegistered adopts a machine's record. A changed record proves that nothing runs
// any more of what was placed there under the one before.
func (c *Core) machineRegistered(id protocol.MachineID, registration record.Machine, version protocol.Version) {
	machine := c.table.Machines[id]
	if machine != nil && machine.Epoch >= version {
		return
	}
	if machine != nil {
		c.jobs.MachineLost(machine)
	}
	c.planner.RecordBoot(id, registration)
	machine = &waittable.Machine{Machine: &clusterstate.Machine{ID: id, Record: registration, Epoch: version, Info: c.Types[registration.Type]}}
	machine.Reserved = clusterstate.ReservedBy(c.reservations.Holds[id], c.WallTime())
	c.table.Add(machine)
	c.table.PlacementDue = true
	c.dispatcher.RecordUpdated(machine.Machine)
	c.table.ApplyEarlyState(machine)
}

// machineDeregistered handles the deletion of a machine's record, which happens only on
// proof that nothing runs there.
func (c *Core) machineDeregistered(id protocol.MachineID) {
	machine := c.table.Machines[id]
	if machine == nil {
		return
	}
	c.workload.RecordSpotLoss(machine)
	c.table.Remove(id)
	c.jobs.MachineLost(machine)
	c.dispatcher.RecordDeleted(machine.Machine)
}
