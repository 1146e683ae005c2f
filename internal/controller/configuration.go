package controller

import (
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// applyConfigurationRecord applies a followed record of the configuration.
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

// ConfigurationInForce returns the configuration that this controller applies.
func (c *Core) ConfigurationInForce() *dynamicconfig.Effective { return c.Configuration.Effective() }

// applyConfiguration switches to the configuration that is in force now, in a single step:
// decisions that were based on the previous one and have not taken effect are made again.
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
