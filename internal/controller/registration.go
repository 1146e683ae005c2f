package controller

import (
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// machineRegistered takes over a machine's record. A changed record proves
// that everything placed by the one before is gone.
func (c *Core) machineRegistered(id protocol.MachineID, rec record.Machine, version protocol.Version) {
	m := c.table.Machines[id]
	if m != nil && m.Epoch >= version {
		return
	}
	if m != nil {
		c.jobs.MachineLost(m)
	}
	c.planner.RecordBoot(id, rec)
	m = &waittable.Machine{Machine: &clusterstate.Machine{ID: id, Record: rec, Epoch: version, Info: c.Types[rec.Type]}}
	m.Reserved = clusterstate.ReservedBy(c.reservations.Holds[id], c.WallTime())
	c.table.Add(m)
	c.table.PlacementDue = true
	c.dispatcher.RecordUpdated(m.Machine)
	c.table.ApplyEarlyState(m)
}

// machineDeregistered: the machine's record was deleted, on proof that nothing is left.
func (c *Core) machineDeregistered(id protocol.MachineID) {
	m := c.table.Machines[id]
	if m == nil {
		return
	}
	c.workload.RecordSpotLoss(m)
	c.table.Remove(id)
	c.jobs.MachineLost(m)
	c.dispatcher.RecordDeleted(m.Machine)
}

// jobEnded: the job's record says done or cancelled.
func (c *Core) jobEnded(id protocol.JobID) {
	c.reservations.JobEnded(c.Live[id])
	failing := c.jobs.IsFailing(id)
	delete(c.Live, id)
	c.MarkEnded(id)
	c.table.ForgetProgress(id)
	c.jobs.End(id)
	c.dispatcher.JobEnded(id, failing)
}
