package coordination

import (
	"damsonkeel/internal/bookkeeping"
	"damsonkeel/internal/protocol"
)

// machineRegistered takes over a machine's record. A changed record proves
// that everything placed by the one before is gone.
func (c *Core) machineRegistered(id protocol.MachineID, rec bookkeeping.Machine, version protocol.Version) {
	m := c.machines[id]
	if m != nil && m.epoch >= version {
		return
	}
	if m != nil {
		c.loseMachine(m)
	}
	c.noteBoot(id, rec)
	m = &machineEntry{machine: &machine{id: id, rec: rec, epoch: version, info: c.types[rec.Type]}, mine: map[protocol.TaskID]*placedTask{}}
	m.reserved = reservedBy(c.promised.holds[id], c.moment())
	c.addMachine(m)
	c.owner.dirty = true
	c.keeping.recorded(m.machine)
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
	c.keeping.recordGone(m.machine)
}
