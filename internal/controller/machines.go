package controller

import (
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// handleMachineRegistered adds a machine with the given record, or replaces its record. It ignores
// a version of the record that is not newer. A changed record proves that no attempt that was
// placed on the machine under the previous record runs any longer.
func (c *Core) handleMachineRegistered(id protocol.MachineID, registration record.Machine, version protocol.Version) {
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

// handleMachineDeregistered removes a machine whose record was deleted from all modules; the jobs
// that this controller owns count their attempts on it as lost. A record is deleted only after
// proof that no attempt runs on the machine.
func (c *Core) handleMachineDeregistered(id protocol.MachineID) {
	machine := c.waitTable.Machines[id]
	if machine == nil {
		return
	}
	c.workload.RecordSpotLoss(machine)
	c.waitTable.Remove(id)
	c.jobs.HandleMachineLost(machine)
	c.dispatcher.RecordDeleted(machine.Machine)
}
