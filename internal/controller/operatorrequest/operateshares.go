package operatorrequest

import (
	"slices"

	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

var errNotSharded = refuse(operatorapi.Refused, "machines are not kept by shares here")

// listShards tells who keeps what.
func (ops *Handler) listShards() Decision {
	if !ops.Sharded() {
		return errNotSharded
	}
	reply := operatorapi.Reply{Code: operatorapi.Done, Controllers: ops.members.Controllers()}
	machines := make([]int, len(ops.Shards.List))
	for id, m := range ops.Records {
		machines[sharding.Of(ops.Shards, id, m.Record.Zone)]++
	}
	at := map[protocol.NodeName]int{}
	for i := range reply.Controllers {
		at[reply.Controllers[i].Name] = i
	}
	for i, st := range ops.Shards.List {
		holder := ops.Holder(sharding.ID(i))
		reply.Shares = append(reply.Shares, operatorapi.Share{
			Number: i, Zone: sharding.ZoneOf(ops.Shards, sharding.ID(i)), Machines: machines[i], Holder: holder, Since: st.Since, Epoch: st.Epoch,
		})
		if k, ok := at[holder]; ok {
			reply.Controllers[k].Shares++
			reply.Controllers[k].Machines += machines[i]
		}
	}
	return Decision{Reply: reply}
}

// moveShards has shares moved to a controller. It is asked of their keepers: what
// has become of it the list tells.
func (ops *Handler) moveShards(r *operatorapi.Request) Decision {
	session := ops.View.Members[r.Controller]
	switch {
	case !ops.Sharded():
		return errNotSharded
	case !ops.HoldsLease():
		return refuse(operatorapi.Later, "may not act now")
	case session == 0:
		return refuse(operatorapi.NotFound, "no such controller takes part")
	case slices.Contains(ops.Shards.Away, r.Controller):
		return refuse(operatorapi.Refused, "it is to keep none")
	case len(r.Shares) == 0:
		return refuse(operatorapi.Refused, "no share is named")
	}
	var moves []sharding.Move
	for _, id := range r.Shares {
		if id < 0 || id >= len(ops.Shards.List) {
			return refuse(operatorapi.NotFound, "no such share")
		}
		if ops.Shards.List[id].Holder != session {
			moves = append(moves, sharding.Move{ID: sharding.ID(id), To: session, Cause: "operator"})
		}
	}
	ops.members.RequestMoves(moves)
	return Decision{Reply: operatorapi.Reply{Code: operatorapi.Done, Reason: "asked of their keepers"}}
}

// moveAllAway has a controller keep nothing, or some again.
func (ops *Handler) moveAllAway(r *operatorapi.Request) Decision {
	switch {
	case !ops.Sharded():
		return errNotSharded
	case ops.View.Members[r.Controller] == 0 && !r.End:
		return refuse(operatorapi.NotFound, "no such controller takes part")
	}
	away := slices.Contains(ops.Shards.Away, r.Controller)
	done := operatorapi.Reply{Code: operatorapi.Done, Reason: "its shares move away"}
	if r.End {
		done.Reason = "shares move to it again"
	}
	if away != r.End {
		return Decision{Reply: done}
	}
	next := sharding.Copy(ops.Shards)
	if r.End {
		next.Away = slices.DeleteFunc(next.Away, func(n protocol.NodeName) bool { return n == r.Controller })
	} else {
		next.Away = append(next.Away, r.Controller)
	}
	if len(next.Away) >= len(ops.View.Members) && !r.End {
		return refuse(operatorapi.Refused, "no controller would be left to keep machines")
	}
	return Decision{Reply: done, Transaction: &protocol.Transaction{
		Conditions: []protocol.Condition{{Key: record.ShardTableKey, Version: ops.ShardsVersion}},
		Changes:    []protocol.Change{{Put: record.ShardTableKey, Value: *next}},
	}}
}
