package coordination

import (
	"slices"

	"damsonkeel/internal/bookkeeping"
	"damsonkeel/internal/coordination/message"
	"damsonkeel/internal/protocol"
)

type viewTag struct{}

// checkView raises the term when the view does not name exactly the
// controllers that are present in the records. A controller whose connection
// is refused stays; only a lapsed lease removes it.
func (c *Core) checkView() {
	if c.Session == 0 || c.Now >= c.Until || c.writingView || c.Now < c.viewRetry {
		return
	}
	want, layout := c.wantMembers()
	if want[c.Self] != c.Session {
		return // not present itself: it has no say
	}
	deaf := c.deafNodes(want)
	if sameMembers(want, c.View.Members) && layout == c.View.Layout && slices.Equal(deaf, c.View.Deaf) && !c.keeping.WantsTerm() {
		return
	}
	c.writingView = true
	next := bookkeeping.View{Term: c.View.Term + 1, Members: want, Deaf: deaf, Layout: layout}
	c.Do(message.Commit{Tag: viewTag{}, Txn: protocol.Txn{
		If: []protocol.Condition{
			{Key: bookkeeping.ViewKey, Version: c.ViewVersion},
		},
		Then: []protocol.Change{{Put: bookkeeping.ViewKey, Value: next}},
	}})
}

// wantMembers is who should be in the view, and how machines are recorded then:
// in the latest way that all of them know. Once it is in use, who does not know
// it stays out: it would miss machines that may hold tasks.
func (c *Core) wantMembers() (map[protocol.NodeName]protocol.LeaseID, bookkeeping.Layout) {
	want := map[protocol.NodeName]protocol.LeaseID{}
	least := bookkeeping.LayoutBlocks
	for name, n := range c.nodes {
		l := max(n.Layout, bookkeeping.LayoutSingle)
		if l < c.View.Layout {
			continue
		}
		want[name] = n.Session
		least = min(least, l)
	}
	return want, max(least, c.View.Layout)
}

func sameMembers(a, b map[protocol.NodeName]protocol.LeaseID) bool {
	if len(a) != len(b) {
		return false
	}
	for n, s := range a {
		if b[n] != s {
			return false
		}
	}
	return true
}

// adopt takes over a new view. Work whose keeper and owner sessions are the
// same in both views goes on; everything else is unknown until proven. A
// controller that missed a view in between trusts nothing it knew before,
// since others may have acted on the one it missed.
func (c *Core) adopt(v bookkeeping.View, version protocol.Version) {
	old := c.View
	consecutive := old.Term != 0 && v.Term == old.Term+1
	wasMember := c.Member()
	c.View, c.ViewVersion = v, version
	clear(c.Keepers)
	c.pen = newPen()
	c.viewRetry = 0
	c.keeping.Settled()
	c.adoptPeers(v)
	c.keeping.ForgetOwners(old)
	c.hearing.adopted(v, c.Self, c.Now)
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
	c.keeping.BeginStocks()
	if !wasMember {
		c.askTables()
	}
	c.fleet.adopted(c.Now)
}

func (c *Core) adoptPeers(v bookkeeping.View) {
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
			c.peers[name] = &peer{session: session, progress: map[protocol.JobID]message.Progress{}, told: newHearsay()}
		}
	}
	if p := c.peers[c.Self]; p != nil {
		p.term = v.Term
	}
}

// received handles a peer's batch. Batches of ended sessions are dropped: the
// network may hold them back for minutes.
func (c *Core) received(b message.Batch) {
	if b.ToSession != c.Session || !c.Member() || c.View.Members[b.From] != b.FromSession {
		if b.ToSession == c.Session && b.Term > c.View.Term {
			c.Do(message.ReplyBatch{Reply: message.BatchBehind})
			return
		}
		if b.ToSession == c.Session && c.Acting() {
			c.Do(message.ReplyBatch{Reply: message.BatchPassed})
			return
		}
		c.Do(message.ReplyBatch{Reply: message.BatchStale})
		return
	}
	if b.Term > c.View.Term {
		c.Do(message.ReplyBatch{Reply: message.BatchBehind})
		return
	}
	p := c.peers[b.From]
	p.term = max(p.term, b.Term)
	if b.First > p.next {
		c.Do(message.ReplyBatch{Reply: message.BatchStale}) // a gap: this can't be the same stream
		return
	}
	for i, m := range b.Messages {
		if n := b.First + uint64(i); n == p.next {
			p.next++
			c.message(b.From, m)
		}
	}
	c.Do(message.ReplyBatch{Reply: message.BatchTaken})
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
		c.recordWanted(*m.Record)
	case m.AskTable:
		c.sendTable(from)
	case m.Table != nil:
		c.fillTable(m.Table)
	}
}

// allAdopted reports whether every member is known to act on this term, so
// that nobody answers workers by an older one any more.
func (c *Core) allAdopted() bool {
	for _, p := range c.peers {
		if p.term < c.View.Term {
			return false
		}
	}
	return true
}
