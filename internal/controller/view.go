package controller

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// adopt takes over a new view. Work whose keeper and owner sessions are the
// same in both views goes on; everything else is unknown until proven. A
// controller that missed a view in between trusts nothing it knew before,
// since others may have acted on the one it missed.
func (c *Core) adopt(v record.View, version protocol.Version) {
	old := c.View
	consecutive := old.Term != 0 && v.Term == old.Term+1
	wasMember := c.Member()
	c.members.Adopt(v, version)
	c.registrar.Adopted()
	c.dispatcher.TermAdopted()
	c.table.AdoptPeers(v)
	c.dispatcher.ForgetOwners(old)
	if !c.Member() {
		c.jobs.Drop()
		c.placer.ForgetSearches()
		c.table.PlacementDue = false
		c.dispatcher.DropAll()
		c.Log.Info("not in the view", "term", v.Term)
		return
	}
	c.Log.Info("new term", "term", v.Term, "members", len(v.Members))
	keeps := consecutive && wasMember
	c.dispatcher.Adopt(old, keeps)
	c.jobs.AdoptView(old, keeps)
	c.beginUpdates()
	c.dispatcher.BeginInventories()
	if !wasMember {
		c.table.AskPeers()
	}
	c.autoscaler.ViewAdopted(c.Now)
}

// message handles one message of a peer, or of itself.
func (c *Core) message(from protocol.NodeName, m message.PeerMessage) {
	switch {
	case m.Place != nil:
		c.dispatcher.Place(from, m.Place)
	case m.Stop != nil:
		c.dispatcher.Stop(*m.Stop)
	case m.Event != nil:
		c.jobs.TaskEvent(*m.Event)
	case m.Released != nil:
		for _, ref := range m.Released {
			c.jobs.TaskEvent(message.TaskEvent{TaskRef: ref, What: message.EventReleased})
		}
	case m.Forget != nil:
		c.dispatcher.Forget(*m.Forget)
	case m.Inventory != nil:
		c.jobs.Inventory(from, m.Inventory)
	case m.Added != nil:
		c.table.WaitsAdded(from, m.Added)
	case m.Relay != nil:
		c.stateUpdated(from, m.Relay)
	case m.Drain != nil:
		c.dispatcher.Drain(*m.Drain)
	case m.Record != nil:
		c.registrar.RequestChange(from, *m.Record)
	case m.Done != nil:
		c.jobs.CompletedBefore(m.Done)
	case m.Move != nil:
		c.dispatcher.HandOver(m.Move)
	case m.Hand != nil:
		c.dispatcher.ReceiveHandover(m.Hand)
	case m.AskTable:
		c.table.SendCopy(from)
	case m.Table != nil:
		c.table.Fill(m.Table)
	}
}

// adoptShares takes over a new record of the shares. Owners are sure of nothing that
// was placed through a share's holder before; nobody else notices.
func (c *Core) adoptShares(s *record.ShardTable, version protocol.Version) {
	old := c.Shards
	was := c.Sharded()
	c.members.AdoptShards(s, version)
	if !was || !c.Member() {
		return // with the view that names the shares
	}
	changed := map[sharding.ID]bool{}
	for i, now := range s.List {
		if i >= len(old.List) || old.List[i].Since != now.Since {
			changed[sharding.ID(i)] = true
		}
	}
	if len(changed) > 0 {
		c.jobs.ShardsMoved(changed)
		c.table.ShardsMoved(changed)
	}
	c.dispatcher.AdoptShards(old)
}
