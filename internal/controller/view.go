package controller

import (
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// checkView has the view changed if it should be.
func (c *Core) checkView() { c.members.UpdateView(c.dispatcher.NeedsNewTerm()) }

// adoptView adopts a new view. Work whose dispatcher and owner have the same sessions in
// both views goes on; everything else is unverified until an inventory proves it. A
// controller that missed a view in between verifies everything again, since others may
// have acted on the one that it missed.
func (c *Core) adoptView(view record.View, version protocol.Version) {
	old := c.View
	consecutive := old.Term != 0 && view.Term == old.Term+1
	wasMember := c.Member()
	c.members.AdoptView(view, version)
	c.registrar.StartTerm()
	c.dispatcher.TermAdopted()
	c.waitTable.AdoptPeers(view)
	c.dispatcher.ForgetEndedOwnerSessions(old)
	if !c.Member() {
		c.dropWork()
		c.Log.Info("not in the view", "term", view.Term)
		return
	}
	c.Log.Info("new term", "term", view.Term, "members", len(view.Members))
	continuous := consecutive && wasMember
	c.dispatcher.AdoptView(old, continuous)
	c.jobs.AdoptView(old, continuous)
	c.beginUpdates()
	c.dispatcher.BeginInventories()
	if !wasMember {
		c.waitTable.RequestCopy()
	}
	c.autoscaler.RecordViewAdoption(c.Now)
}

// dropWork drops the jobs and queues of a controller that is no member any more: the
// members take them over.
func (c *Core) dropWork() {
	c.jobs.DropAll()
	c.placer.DropFailedSearches()
	c.waitTable.PlacementDue = false
	c.dispatcher.DropAllQueues()
}

// adoptShards adopts a new shard table. Only attempts that were placed through the former
// holder of a shard become unverified; all other work goes on.
func (c *Core) adoptShards(shards *record.ShardTable, version protocol.Version) {
	old := c.Shards
	wasSharded := c.Sharded()
	c.members.AdoptShardTable(shards, version)
	if !wasSharded || !c.Member() {
		return // the shards are adopted with the view that names them
	}
	moved := map[sharding.ID]bool{}
	for i, shard := range shards.List {
		if i >= len(old.List) || old.List[i].Since != shard.Since {
			moved[sharding.ID(i)] = true
		}
	}
	if len(moved) > 0 {
		c.jobs.HandleShardsMoved(moved)
		c.waitTable.HandleMovedShards(moved)
	}
	c.dispatcher.AdoptShards(old)
}
