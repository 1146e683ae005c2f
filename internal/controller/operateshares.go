package controller

import (
	"slices"

	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

var errNotSharded = refuse(operatorapi.Refused, "machines are not kept by shares here")

// listShards tells who keeps what.
func (c *Core) listShards() decision {
	if !c.Sharded() {
		return errNotSharded
	}
	reply := operatorapi.Reply{Code: operatorapi.Done, Controllers: c.members.Controllers()}
	machines := make([]int, len(c.Shards.List))
	for id, m := range c.Records {
		machines[sharding.Of(c.Shards, id, m.Record.Zone)]++
	}
	at := map[protocol.NodeName]int{}
	for i := range reply.Controllers {
		at[reply.Controllers[i].Name] = i
	}
	for i, st := range c.Shards.List {
		holder := c.Holder(sharding.ID(i))
		reply.Shares = append(reply.Shares, operatorapi.Share{
			Number: i, Zone: sharding.ZoneOf(c.Shards, sharding.ID(i)), Machines: machines[i], Holder: holder, Since: st.Since, Epoch: st.Epoch,
		})
		if k, ok := at[holder]; ok {
			reply.Controllers[k].Shares++
			reply.Controllers[k].Machines += machines[i]
		}
	}
	return decision{reply: reply}
}

// moveShards has shares moved to a controller. It is asked of their keepers: what
// has become of it the list tells.
func (c *Core) moveShards(r *operatorapi.Request) decision {
	session := c.View.Members[r.Controller]
	switch {
	case !c.Sharded():
		return errNotSharded
	case !c.HoldsLease():
		return refuse(operatorapi.Later, "may not act now")
	case session == 0:
		return refuse(operatorapi.NotFound, "no such controller takes part")
	case slices.Contains(c.Shards.Away, r.Controller):
		return refuse(operatorapi.Refused, "it is to keep none")
	case len(r.Shares) == 0:
		return refuse(operatorapi.Refused, "no share is named")
	}
	var moves []sharding.Move
	for _, id := range r.Shares {
		if id < 0 || id >= len(c.Shards.List) {
			return refuse(operatorapi.NotFound, "no such share")
		}
		if c.Shards.List[id].Holder != session {
			moves = append(moves, sharding.Move{ID: sharding.ID(id), To: session, Cause: "operator"})
		}
	}
	c.members.RequestMoves(moves)
	return decision{reply: operatorapi.Reply{Code: operatorapi.Done, Reason: "asked of their keepers"}}
}

// moveAllAway has a controller keep nothing, or some again.
func (c *Core) moveAllAway(r *operatorapi.Request) decision {
	switch {
	case !c.Sharded():
		return errNotSharded
	case c.View.Members[r.Controller] == 0 && !r.End:
		return refuse(operatorapi.NotFound, "no such controller takes part")
	}
	away := slices.Contains(c.Shards.Away, r.Controller)
	done := operatorapi.Reply{Code: operatorapi.Done, Reason: "its shares move away"}
	if r.End {
		done.Reason = "shares move to it again"
	}
	if away != r.End {
		return decision{reply: done}
	}
	next := sharding.Copy(c.Shards)
	if r.End {
		next.Away = slices.DeleteFunc(next.Away, func(n protocol.NodeName) bool { return n == r.Controller })
	} else {
		next.Away = append(next.Away, r.Controller)
	}
	if len(next.Away) >= len(c.View.Members) && !r.End {
		return refuse(operatorapi.Refused, "no controller would be left to keep machines")
	}
	return decision{reply: done, transaction: &protocol.Transaction{
		Conditions: []protocol.Condition{{Key: record.ShardTableKey, Version: c.ShardsVersion}},
		Changes:    []protocol.Change{{Put: record.ShardTableKey, Value: *next}},
	}}
}
