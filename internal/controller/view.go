package controller

import (
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// updateView writes a view of the next term if the current one has to change (see
// Members.UpdateView) or the dispatcher needs a new term to settle the outcome of a start.
func (c *Core) updateView() { c.members.UpdateView(c.dispatcher.NeedsNewTerm()) }

// adoptView adopts a new view. Work whose dispatcher and owner have the same sessions in both
// views continues; all other work is unverified until an inventory proves it. A controller
// that missed a view in between verifies all work again, because other controllers may have
// acted on the missed view.
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
		c.Log.Info("this controller is not a member of the new view", "term", view.Term)
		return
	}
	continuous := consecutive && wasMember
	c.Log.Info("adopted the view of a new term", "term", view.Term, "members", len(view.Members), "continuous", continuous,
		"shards", c.dispatcher.ShardsHeld(), "table_epoch", c.ShardTableEpoch(), "revision", c.ObservedRevision)
	c.dispatcher.AdoptView(old, continuous)
	c.jobs.AdoptView(old, continuous)
	c.beginUpdateStreams()
	c.dispatcher.BeginInventories()
	if !wasMember {
		c.waitTable.RequestCopy()
	}
	c.autoscaler.RecordViewAdoption(c.Now)
}

// dropWork drops the owned jobs and the queues of a controller that is not a member of the view:
// the members take them over.
func (c *Core) dropWork() {
	c.jobs.DropAll()
	c.placer.DropFailedSearches()
	c.waitTable.PlacementDue = false
	c.dispatcher.DropAllQueues()
}

// adoptShards adopts a new shard table. A shard has moved if the epoch at which its holder took
// it over has changed. Only attempts that were placed through the previous holder of a moved
// shard become unverified; all other work continues.
func (c *Core) adoptShards(shards *record.ShardTable, version protocol.Version) {
	old := c.Shards
	wasSharded := c.Sharded()
	c.members.AdoptShardTable(shards, version)
	if !wasSharded || !c.Member() {
		return // the shards are adopted with the view whose layout uses them
	}
	moved := map[sharding.ID]bool{}
	for i, shard := range shards.List {
		if i >= len(old.List) || old.List[i].Since != shard.Since {
			moved[sharding.ID(i)] = true
		}
	}
	if len(moved) > 0 {
		c.jobs.HandleShardsMoved(moved)
		c.waitTable.HandleShardsMoved(moved)
	}
	c.dispatcher.AdoptShards(old)
}
