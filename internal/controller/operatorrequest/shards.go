package operatorrequest

import (
	"slices"

	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// notSharded is the decision that refuses requests on shards where the machines are not divided
// into shards.
var notSharded = refuse(operatorapi.Refused, "machines are not kept by shares here")

// listShards lists the shards with their zones, holders and numbers of machines, and the
// controllers with the numbers of the shards and machines that they hold.
func (h *Handler) listShards() Decision {
	if !h.Sharded() {
		return notSharded
	}
	reply := operatorapi.Reply{Code: operatorapi.Done, Controllers: h.members.Controllers()}
	machines := make([]int, len(h.Shards.List))
	for id, m := range h.Records {
		machines[sharding.ShardOf(h.Shards, id, m.Record.Zone)]++
	}
	index := map[protocol.NodeName]int{} // of a controller in reply.Controllers
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

// moveShards requests the handover of shards to a controller, which must be a member of the
// view and not cordoned. Shards that it holds already stay. The current holders carry out the
// moves; the list of shards shows the progress.
func (h *Handler) moveShards(r *operatorapi.Request) Decision {
	lease := h.View.Members[r.Controller]
	switch {
	case !h.Sharded():
		return notSharded
	case !h.HoldsLease():
		return refuse(operatorapi.RetryLater, "may not act now")
	case lease == 0:
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
		if h.Shards.List[id].Holder != lease {
			moves = append(moves, sharding.Move{Shard: sharding.ID(id), To: lease, Cause: "operator"})
		}
	}
	h.members.RequestMoves(moves)
	return Decision{Reply: operatorapi.Reply{Code: operatorapi.Done, Reason: "asked of their keepers"}}
}

// cordonController returns the transaction that cordons a controller, which excludes it from
// holding shards, or that ends the cordon. It changes nothing if the controller is in the
// requested state already, and refuses to cordon the last controller that may hold shards.
func (h *Handler) cordonController(r *operatorapi.Request) Decision {
	switch {
	case !h.Sharded():
		return notSharded
	case h.View.Members[r.Controller] == 0 && !r.End:
		return refuse(operatorapi.NotFound, "no such controller takes part")
	}
	cordoned := slices.Contains(h.Shards.Away, r.Controller)
	done := operatorapi.Reply{Code: operatorapi.Done, Reason: "its shares move away"}
	if r.End {
		done.Reason = "shares move to it again"
	}
	if cordoned != r.End {
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
