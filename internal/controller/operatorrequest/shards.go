package operatorrequest

import (
	"slices"

	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// notSharded is the decision where machines are dispatched to without shards.
var notSharded = refuse(operatorapi.Refused, "machines are not kept by shares here")

// listShards lists the shards with their holders, and the controllers with the numbers of
// their shards and machines.
func (h *Handler) listShards() Decision {
	if !h.Sharded() {
		return notSharded
	}
	reply := operatorapi.Reply{Code: operatorapi.Done, Controllers: h.members.Controllers()}
	machines := make([]int, len(h.Shards.List))
	for id, m := range h.Records {
		machines[sharding.ShardOf(h.Shards, id, m.Record.Zone)]++
	}
	index := map[protocol.NodeName]int{} // in reply.Controllers
	for i := range reply.Controllers {
		index[reply.Controllers[i].Name] = i
	}
	for i, shard := range h.Shards.List {
		holder := h.Holder(sharding.ID(i))
		reply.Shares = append(reply.Shares, operatorapi.Share{
			Number: i, Zone: sharding.ZoneOf(h.Shards, sharding.ID(i)), Machines: machines[i], Holder: holder, Since: shard.Since, Epoch: shard.Epoch,
		})
		if k, ok := index[holder]; ok {
			reply.Controllers[k].Shares++
			reply.Controllers[k].Machines += machines[i]
		}
	}
	return Decision{Reply: reply}
}

// moveShards requests shards to be moved to a controller. Their holders carry it out: the
// list of shards shows how far they are.
func (h *Handler) moveShards(r *operatorapi.Request) Decision {
	session := h.View.Members[r.Controller]
	switch {
	case !h.Sharded():
		return notSharded
	case !h.HoldsLease():
		return refuse(operatorapi.RetryLater, "may not act now")
	case session == 0:
		return refuse(operatorapi.NotFound, "no such controller takes part")
	case slices.Contains(h.Shards.Away, r.Controller):
		return refuse(operatorapi.Refused, "it is to keep none")
	case len(r.Shares) == 0:
		return refuse(operatorapi.Refused, "no share is named")
	}
	var moves []sharding.Move
	for _, id := range r.Shares {
		if id < 0 || id >= len(h.Shards.List) {
			return refuse(operatorapi.NotFound, "no such share")
		}
		if h.Shards.List[id].Holder != session {
			moves = append(moves, sharding.Move{Shard: sharding.ID(id), To: session, Cause: "operator"})
		}
	}
	h.members.RequestMoves(moves)
	return Decision{Reply: operatorapi.Reply{Code: operatorapi.Done, Reason: "asked of their keepers"}}
}

// moveAllAway excludes a controller from holding shards, or ends that.
func (h *Handler) moveAllAway(r *operatorapi.Request) Decision {
	switch {
	case !h.Sharded():
		return notSharded
	case h.View.Members[r.Controller] == 0 && !r.End:
		return refuse(operatorapi.NotFound, "no such controller takes part")
	}
	away := slices.Contains(h.Shards.Away, r.Controller)
	done := operatorapi.Reply{Code: operatorapi.Done, Reason: "its shares move away"}
	if r.End {
		done.Reason = "shares move to it again"
	}
	if away != r.End {
		return Decision{Reply: done}
	}
	next := sharding.Copy(h.Shards)
	if r.End {
		next.Away = slices.DeleteFunc(next.Away, func(n protocol.NodeName) bool { return n == r.Controller })
	} else {
		next.Away = append(next.Away, r.Controller)
	}
	if len(next.Away) >= len(h.View.Members) && !r.End {
		return refuse(operatorapi.Refused, "no controller would be left to keep machines")
	}
	return Decision{Reply: done, Transaction: &protocol.Transaction{
		Conditions: []protocol.Condition{{Key: record.ShardTableKey, Version: h.ShardsVersion}},
		Changes:    []protocol.Change{{Put: record.ShardTableKey, Value: *next}},
	}}
}
