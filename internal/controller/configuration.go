package controller

import (
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// configurationUpdated handles a followed record of the configuration.
func (c *Core) configurationUpdated(key record.FollowedKey, value protocol.RawValue, version protocol.Version) error {
	var changed bool
	if key.Configuration {
		head, err := decodeRecord[record.Configuration](value)
		if err != nil {
			return err
		}
		changed = c.Configuration.ApplyRevision(head, version)
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

// ConfigurationInForce is the configuration that this controller applies.
func (c *Core) ConfigurationInForce() *dynamicconfig.Effective { return c.Configuration.Effective() }

// applyConfiguration changes to the configuration that is in force now, in one step:
// decisions by the former one whose effect has not begun are made anew.
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
