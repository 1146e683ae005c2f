package controller

import (
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// configurationRecord takes a followed record of the configuration.
func (c *Core) configurationRecord(f record.FollowedKey, value protocol.RawValue, version protocol.Version) error {
	changed := false
	if f.Configuration {
		var head record.Configuration
		if err := protocol.Decode(value, &head); err != nil {
			return err
		}
		changed = c.Configuration.TakeHead(head, version)
	} else {
		var entry record.ConfigurationEntry
		if err := protocol.Decode(value, &entry); err != nil {
			return err
		}
		changed = c.Configuration.TakeEntry(f.ConfigurationEntry, entry)
	}
	if changed {
		c.configured()
	}
	return nil
}

// ConfigurationInForce is the configuration that this controller acts by.
func (c *Core) ConfigurationInForce() *dynamicconfig.Effective { return c.Configuration.Effective() }

// configured goes over to the configuration that is in force now, in one step: what
// was decided by the one before and has not begun is decided anew.
func (c *Core) configured() {
	effective := c.Configuration.Effective()
	c.Op = effective.Operator
	c.Log.Info("configuration in force", "revision", uint64(effective.Revision))
	c.jobs.InvalidateOrder()
	c.table.PlacementDue = true
	c.refreshDeadlines()
	c.dispatcher.AdoptConfiguration()
	c.dispatcher.InvalidateOrder()
	c.Emit(message.ConfigurationChanged{Effective: effective})
}
