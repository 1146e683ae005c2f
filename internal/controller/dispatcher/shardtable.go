package dispatcher

import (
	"slices"

	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/record"
)

// AdoptShards goes over to a new record of the shards: those no longer held here are
// dropped, those assigned to this controller are taken, and what else has changed raises
// nothing but fencing tokens.
func (d *Dispatcher) AdoptShards(old *record.ShardTable) {
	lost, gained := map[sharding.ID]bool{}, map[sharding.ID]bool{}
	for i, now := range d.Shards.List {
		id := sharding.ID(i)
		was := record.ShardAssignment{}
		if old != nil && i < len(old.List) {
			was = old.List[i]
		}
		holds, held := now.Holder == d.Session, was.Holder == d.Session
		switch {
		case was.Since == now.Since && holds:
			if shard := d.shards.byID(id); shard.handover != nil && now.Epoch != was.Epoch {
				d.abortHandover(shard)
			}
		case was.Since == now.Since:
		case held && !holds:
			lost[id] = true
		case holds:
			gained[id] = true
		}
	}
	if len(lost) > 0 {
		d.loseShards(lost)
	}
	if len(gained) > 0 {
		d.takeShards(gained, old)
	}
	d.shards.dropVoidIncoming()
}

// dropVoidIncoming drops the incoming handovers of shards with which another controller
// goes on.
func (s *shardSet) dropVoidIncoming() {
	for id, handover := range s.incoming {
		if handover.epoch != s.Shards.List[id].Epoch {
			delete(s.incoming, id)
		}
	}
}

// loseShards drops the machines of shards that other controllers hold now, and forwards
// what was deferred for them.
func (d *Dispatcher) loseShards(lost map[sharding.ID]bool) {
	for _, q := range slices.Clone(d.queues.inOrder()) {
		if lost[q.shardID()] {
			d.dropQueue(q.id)
		}
	}
	for id := range ordered.Of(lost) {
		shard := d.shards.states[id]
		if shard == nil {
			continue
		}
		delete(d.shards.states, id)
		if shard.handover == nil {
			continue
		}
		d.shards.noteMove(shard, false)
		for _, m := range shard.handover.deferred {
			d.handleDeferred(m)
		}
	}
}

// endHandovers ends all handovers at a new view: a shard is taken in the view it was
// handed over in, or not at all, so what this controller holds still in the new one no
// other controller will take by what was handed over.
func (d *Dispatcher) endHandovers() {
	clear(d.shards.incoming)
	if !d.Sharded() {
		return
	}
	for id, shard := range ordered.Of(d.shards.states) {
		if d.Shards.List[id].Holder != d.Session || d.Shards.List[id].Since != shard.epoch {
			delete(d.shards.states, id)
		} else if shard.handover != nil {
			d.abortHandover(shard)
		}
	}
}
