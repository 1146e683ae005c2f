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
		c.loseMachine(m)
	}
	c.noteBoot(id, rec)
	m = &machineEntry{Machine: &clusterstate.Machine{ID: id, Record: rec, Epoch: version, Info: c.Types[rec.Type]}, mine: map[protocol.TaskID]*placedTask{}}
	m.reserved = clusterstate.ReservedBy(c.reservations.Holds[id], c.Moment())
	c.addMachine(m)
	c.owner.dirty = true
	c.keeping.Recorded(m.Machine)
	c.takeEarly(m)
}

// machineGone: the machine's record was deleted, on proof that nothing is left.
func (c *Core) machineGone(id protocol.MachineID) {
	m := c.machines[id]
	if m == nil {
		return
	}
	c.noteLoss(m)
	c.removeMachine(id)
	c.loseMachine(m)
	c.keeping.RecordGone(m.Machine)
}
