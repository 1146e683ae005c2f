package controller

import (
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// applyConfigurationRecord adds a followed record of the configuration, a revision or an entry,
// and switches to the resulting configuration if the one in force has changed. It returns an
// error for a record that can't be decoded.
func (c *Core) applyConfigurationRecord(key record.FollowedKey, value protocol.RawValue, version protocol.Version) error {
	var changed bool
	if key.Configuration {
		revisionRecord, err := decodeRecord[record.Configuration](value)
		if err != nil {
			return err
		}
		changed = c.Configuration.ApplyRevision(revisionRecord, version)
	} else {
		entry, err := decodeRecord[record.ConfigurationEntry](value)
		if err != nil {
			return err
		}
		changed = c.Configuration.ApplyEntry(key.ConfigurationEntry, entry)
	}
	if changed {
		c.applyConfiguration()
	}
	return nil
}

// ConfigurationInForce returns the configuration that this controller applies: that of the
// settings files, with the changes of the last revision whose records it has read completely.
func (c *Core) ConfigurationInForce() *dynamicconfig.Effective { return c.Configuration.Effective() }

// applyConfiguration switches all modules and the frontend to the configuration that is in force
// now, in a single step. Decisions that were based on the previous one and have not taken
// effect are made again: the jobs' deadlines, the order of jobs and queues, the placement of
// pending tasks, and queued attempts that may no longer be started.
func (c *Core) applyConfiguration() {
	effective := c.Configuration.Effective()
	c.Operator = effective.Operator
	c.Log.Info("configuration in force", "revision", uint64(effective.Revision))
	c.jobs.InvalidateOrder()
	c.waitTable.PlacementDue = true
	c.refreshDeadlines()
	c.dispatcher.AdoptConfiguration()
	c.dispatcher.InvalidateQueueOrder()
	c.Emit(message.ConfigurationChanged{Effective: effective})
}
