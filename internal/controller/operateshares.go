package controller

import (
	"slices"

	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

var noShares = no(operatorapi.Refused, "machines are not kept by shares here")

// listShares tells who keeps what.
func (c *Core) listShares() decision {
	if !c.Sharing() {
		return noShares
	}
	reply := operatorapi.Reply{Code: operatorapi.Done, Controllers: c.members.Controllers()}
	machines := make([]int, len(c.Shares.List))
	for id, m := range c.Records {
		machines[sharding.Of(c.Shares, id, m.Record.Zone)]++
	}
	at := map[protocol.NodeName]int{}
	for i := range reply.Controllers {
		at[reply.Controllers[i].Name] = i
	}
	for i, st := range c.Shares.List {
		holder := c.Holder(sharding.ID(i))
		reply.Shares = append(reply.Shares, operatorapi.Share{
			Number: i, Zone: sharding.ZoneOf(c.Shares, sharding.ID(i)), Machines: machines[i], Holder: holder, Since: st.Since, Epoch: st.Epoch,
		})
		if k, ok := at[holder]; ok {
			reply.Controllers[k].Shares++
			reply.Controllers[k].Machines += machines[i]
		}
	}
	return decision{reply: reply}
}

// moveShares has shares moved to a controller. It is asked of their keepers: what
// has become of it the list tells.
func (c *Core) moveShares(r *operatorapi.Request) decision {
	session := c.View.Members[r.Controller]
	switch {
	case !c.Sharing():
		return noShares
	case !c.Acting():
		return no(operatorapi.Later, "may not act now")
	case session == 0:
		return no(operatorapi.NotFound, "no such controller takes part")
	case slices.Contains(c.Shares.Away, r.Controller):
		return no(operatorapi.Refused, "it is to keep none")
	case len(r.Shares) == 0:
		return no(operatorapi.Refused, "no share is named")
	}
	var moves []sharding.Move
	for _, id := range r.Shares {
		if id < 0 || id >= len(c.Shares.List) {
			return no(operatorapi.NotFound, "no such share")
		}
		if c.Shares.List[id].Holder != session {
			moves = append(moves, sharding.Move{ID: sharding.ID(id), To: session, Cause: "operator"})
		}
	}
	c.members.AskMoves(moves)
	return decision{reply: operatorapi.Reply{Code: operatorapi.Done, Reason: "asked of their keepers"}}
}

// putAway has a controller keep nothing, or some again.
func (c *Core) putAway(r *operatorapi.Request) decision {
	switch {
	case !c.Sharing():
		return noShares
	case c.View.Members[r.Controller] == 0 && !r.End:
		return no(operatorapi.NotFound, "no such controller takes part")
	}
	away := slices.Contains(c.Shares.Away, r.Controller)
	done := operatorapi.Reply{Code: operatorapi.Done, Reason: "its shares move away"}
	if r.End {
		done.Reason = "shares move to it again"
	}
	if away != r.End {
		return decision{reply: done}
	}
	next := sharding.Copy(c.Shares)
	if r.End {
		next.Away = slices.DeleteFunc(next.Away, func(n protocol.NodeName) bool { return n == r.Controller })
	} else {
		next.Away = append(next.Away, r.Controller)
	}
	if len(next.Away) >= len(c.View.Members) && !r.End {
		return no(operatorapi.Refused, "no controller would be left to keep machines")
	}
	return decision{reply: done, txn: &protocol.Txn{
		If:   []protocol.Condition{{Key: record.SharesKey, Version: c.SharesVersion}},
		Then: []protocol.Change{{Put: record.SharesKey, Value: *next}},
	}}
}
