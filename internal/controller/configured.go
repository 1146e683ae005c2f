package controller

import (
	"time"

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
	c.jobs.sorted = nil
	c.table.placementDue = true
	c.refreshDeadlines()
	c.dispatcher.AdoptConfiguration()
	c.dispatcher.InvalidateOrder()
	c.Emit(message.ConfigurationChanged{Effective: effective})
}

// openTypes are the machine types, with the zones, in which the configuration lets
// machines be rented.
func (as *autoscalerState) openTypes() map[protocol.MachineType]protocol.TypeInfo {
	if !as.Configuration.Effective().AnyPlaceClosed() {
		return as.Types
	}
	open := map[protocol.MachineType]protocol.TypeInfo{}
	for name, info := range as.Types {
		zones := info.AllowZones
		info.AllowZones = nil
		for _, zone := range zones {
			if !as.PlaceClosed(name, zone) {
				info.AllowZones = append(info.AllowZones, zone)
			}
		}
		open[name] = info
	}
	return open
}

// revisionOf is the revision that a controller says it acts by, and how long ago it
// said so.
func (ops *operations) revisionOf(name protocol.NodeName) (record.ConfigurationRevision, time.Duration) {
	if name == ops.Self {
		return ops.Configuration.Effective().Revision, 0
	}
	p := ops.table.peers[name]
	if p == nil || p.configuredAt == 0 {
		return 0, 0
	}
	return p.configuration, ops.Since(p.configuredAt)
}
