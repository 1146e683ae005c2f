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
	machine := c.waitTable.Machines[id]
	if machine != nil && machine.Epoch >= version {
		return
	}
	if machine != nil {
		c.jobs.HandleMachineLost(machine)
	}
	c.planner.RecordBootTime(id, registration)
	machine = &waittable.Machine{Machine: &clusterstate.Machine{ID: id, Record: registration, Epoch: version, Info: c.Types[registration.Type]}}
	machine.Reserved = clusterstate.ReservedAmount(c.reservations.Holds[id], c.WallTime())
	c.waitTable.Add(machine)
	c.waitTable.PlacementDue = true
	c.dispatcher.RecordUpdated(machine.Machine)
	c.waitTable.ApplyEarlyState(machine)
}

// machineDeregistered handles the deletion of a machine's record, which happens only on
// proof that nothing runs there.
func (c *Core) machineDeregistered(id protocol.MachineID) {
	machine := c.waitTable.Machines[id]
	if machine == nil {
		return
	}
	c.workload.RecordSpotLoss(machine)
	c.waitTable.Remove(id)
	c.jobs.HandleMachineLost(machine)
	c.dispatcher.RecordDeleted(machine.Machine)
}
