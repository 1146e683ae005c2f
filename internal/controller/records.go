package controller

import (
	"fmt"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// handleRecordEvent applies an event of the watch on the key-value store: a written or a deleted
// record. It ignores deletions of keys that this version does not support.
func (c *Core) handleRecordEvent(event protocol.Event) {
	if event.Put != "" {
		c.handleRecordUpdate(event.Put, event.Value, event.Version, false)
	} else if key, ok := record.ParseFollowedKey(event.Delete); ok {
		c.handleRecordDeletion(key)
	}
	c.ObservedRevision = max(c.ObservedRevision, protocol.Revision(event.Version))
}

// handleRecordDeletion passes the deletion of a followed record to the modules that use records
// of its kind. Deletions of other kinds, such as the view, have no effect.
func (c *Core) handleRecordDeletion(key record.FollowedKey) {
	switch {
	case key.Node != "":
		c.members.RemoveNode(key.Node)
		c.updateView()
	case key.ShardTable:
		c.ShardsVersion = 0 // the record is lost: it is written again from this controller's copy
	case key.Job != "":
		c.handleJobEnded(key.Job)
	case key.Machine != "":
		if !c.registrar.InBlock(key.Machine) { // otherwise its entry has moved into a block
			c.handleMachineDeregistered(key.Machine)
		}
	case key.Block != "":
		for _, id := range c.registrar.BlockDeleted(key.Block) {
			c.handleMachineDeregistered(id)
		}
	case key.Reservation != "" || key.Window != "":
		c.reservations.AdoptCalendarDeletion(key)
	}
}

// handleRecordUpdate applies the value of a followed record, which comes from the snapshot at
// the beginning of a session or from the watch. It ignores keys that this version does not
// support, and logs and skips a record that can't be decoded.
func (c *Core) handleRecordUpdate(key string, value protocol.RawValue, version protocol.Version, snapshot bool) {
	followed, ok := record.ParseFollowedKey(key)
	if !ok {
		return
	}
	if err := c.applyRecord(followed, value, version, snapshot); err != nil {
		c.Log.Error("record can't be read", "key", key, "err", err)
	}
}

// applyRecord decodes a record and passes it to the modules that use records of its kind. It
// returns an error for a record that can't be decoded.
func (c *Core) applyRecord(key record.FollowedKey, value protocol.RawValue, version protocol.Version, snapshot bool) error {
	switch {
	case key.View:
		return c.applyViewRecord(value, version)
	case key.Node != "":
		return c.applyNodeRecord(key.Node, value, snapshot)
	case key.Job != "":
		return c.applyJobRecord(value, version, snapshot)
	case key.Machine != "":
		return c.applyMachineRecord(key.Machine, value, version)
	case key.Block != "":
		return c.applyBlockRecord(key.Block, value, version)
	case key.ShardTable:
		return c.applyShardTableRecord(value, version)
	case key.ReservationHolds:
		return wrapRecordError("reservation holds", c.reservations.AdoptRecord(value, version))
	case key.Configuration || key.ConfigurationEntry != "":
		return c.applyConfigurationRecord(key, value, version)
	case key.Calendar || key.Reservation != "" || key.Window != "":
		return wrapRecordError("calendar", c.reservations.AdoptCalendarRecord(key, value, version))
	}
	return nil
}

// applyViewRecord adopts the view if its record is newer than that of the current one.
func (c *Core) applyViewRecord(value protocol.RawValue, version protocol.Version) error {
	view, err := decodeRecord[record.View](value)
	if err == nil && version > c.ViewVersion {
		c.adoptView(view, version)
	}
	return err
}

// applyNodeRecord adds a registered controller, and updates the view unless the record comes
// from the snapshot.
func (c *Core) applyNodeRecord(name protocol.NodeName, value protocol.RawValue, snapshot bool) error {
	node, err := decodeRecord[record.Node](value)
	if err != nil {
		return err
	}
	c.members.AddNode(name, node)
	if !snapshot {
		c.updateView()
	}
	return nil
}

// applyJobRecord adds an accepted job to the live jobs.
func (c *Core) applyJobRecord(value protocol.RawValue, version protocol.Version, snapshot bool) error {
	job, err := decodeRecord[protocol.Job](value)
	if err == nil {
		c.jobs.AddAccepted(job, version, snapshot)
	}
	return err
}

// applyMachineRecord registers a machine that has a record of its own.
func (c *Core) applyMachineRecord(id protocol.MachineID, value protocol.RawValue, version protocol.Version) error {
	machine, err := decodeRecord[record.Machine](value)
	if err == nil {
		c.handleMachineRegistered(id, machine, version)
	}
	return err
}

// applyBlockRecord registers the machines whose entries in a block have changed, and
// deregisters those whose entries were removed.
func (c *Core) applyBlockRecord(id string, value protocol.RawValue, version protocol.Version) error {
	block, err := decodeRecord[record.Block](value)
	if err != nil {
		return err
	}
	changed, removed := c.registrar.BlockUpdated(id, block, version)
	for _, machine := range removed {
		c.handleMachineDeregistered(machine)
	}
	for _, entry := range changed {
		c.handleMachineRegistered(entry.ID, entry.Machine, entry.Epoch)
	}
	return nil
}

// applyShardTableRecord adopts the shard table if its record is newer than that of the current
// one.
func (c *Core) applyShardTableRecord(value protocol.RawValue, version protocol.Version) error {
	shards, err := decodeRecord[record.ShardTable](value)
	if err == nil && version > c.ShardsVersion {
		c.adoptShards(&shards, version)
	}
	return err
}

// decodeRecord decodes the value of a record as a T.
func decodeRecord[T any](value protocol.RawValue) (decoded T, err error) {
	if err := protocol.Decode(value, &decoded); err != nil {
		return decoded, fmt.Errorf("decode %T: %w", decoded, err)
	}
	return decoded, nil
}

// wrapRecordError adds the kind of the record to an error.
func wrapRecordError(kind string, err error) error {
	if err != nil {
		return fmt.Errorf("%s: %w", kind, err)
	}
	return nil
}

// handleJobEnded removes a job from all modules after its live record was deleted, which means
// that the job is done or cancelled.
func (c *Core) handleJobEnded(id protocol.JobID) {
	c.reservations.CountEndedJob(c.Live[id])
	failing := c.jobs.IsFailing(id)
	delete(c.Live, id)
	c.MarkEnded(id)
	c.waitTable.ForgetProgress(id)
	c.jobs.RemoveEnded(id)
	c.dispatcher.JobEnded(id, failing)
}
