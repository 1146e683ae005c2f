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
	c.keeping.Settled()
	c.adoptPeers(v)
	c.keeping.ForgetOwners(old)
	if !c.Member() {
		c.owner = newOwnerState()
		c.keeping.Drop()
		c.Log.Info("not in the view", "term", v.Term)
		return
	}
	c.Log.Info("new term", "term", v.Term, "members", len(v.Members))
	keeps := consecutive && wasMember
	c.keeping.Adopt(old, keeps)
	c.adoptJobs(old, keeps)
	c.beginRelays()
	c.keeping.BeginInventories()
	if !wasMember {
		c.askTables()
	}
	c.fleet.adopted(c.Now)
}

func (c *Core) adoptPeers(v record.View) {
	replaced := map[protocol.NodeName]bool{}
	for name, p := range c.peers {
		replaced[name] = v.Members[name] != p.session
	}
	for name, p := range c.peers {
		c.dropComing(name, p, replaced)
		if replaced[name] {
			delete(c.peers, name)
		}
	}
	for name, session := range v.Members {
		if c.peers[name] == nil {
			c.peers[name] = &peer{session: session, progress: map[protocol.JobID]message.Progress{}, reports: newPeerReports()}
		}
	}
}

// message handles one message of a peer, or of itself.
func (c *Core) message(from protocol.NodeName, m message.PeerMessage) {
	switch {
	case m.Place != nil:
		c.keeping.Place(from, m.Place)
	case m.Stop != nil:
		c.keeping.Stop(*m.Stop)
	case m.Event != nil:
		c.event(*m.Event)
	case m.Released != nil:
		for _, ref := range m.Released {
			c.event(message.TaskEvent{TaskRef: ref, What: message.WhatReleased})
		}
	case m.Forget != nil:
		c.keeping.Forget(*m.Forget)
	case m.Inventory != nil:
		c.inventory(from, m.Inventory)
	case m.Added != nil:
		c.addWaits(from, m.Added)
	case m.Relay != nil:
		c.relayed(from, m.Relay)
	case m.Drain != nil:
		c.keeping.Drain(*m.Drain)
	case m.Record != nil:
		c.registrar.Wanted(from, *m.Record)
	case m.Done != nil:
		c.doneBefore(m.Done)
	case m.Move != nil:
		c.keeping.Move(m.Move)
	case m.Hand != nil:
		c.keeping.Hand(m.Hand)
	case m.AskTable:
		c.sendTable(from)
	case m.Table != nil:
		c.fillTable(m.Table)
	}
}

// adoptShares takes over a new record of the shares. Owners are sure of nothing that
// was placed through a share's holder before; nobody else notices.
func (c *Core) adoptShares(s *record.Shares, version protocol.Version) {
	old := c.Shares
	was := c.Sharing()
	c.members.AdoptShares(s, version)
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
		c.sharesMoved(changed)
	}
	c.keeping.AdoptShares(old)
}
