package coordination

import (
	"slices"

	"damsonkeel/internal/bookkeeping"
	"damsonkeel/internal/coordination/sharing"
	"damsonkeel/internal/operators"
	"damsonkeel/internal/protocol"
)

var noShares = no(operators.Refused, "machines are not kept by shares here")

// listShares tells who keeps what.
func (c *Core) listShares() decision {
	if !c.Sharing() {
		return noShares
	}
	reply := operators.Reply{Code: operators.Done, Controllers: c.members.Controllers()}
	machines := make([]int, len(c.Shares.List))
	for id, m := range c.Records {
		machines[sharing.Of(c.Shares, id, m.Record.Zone)]++
	}
	at := map[protocol.NodeName]int{}
	for i := range reply.Controllers {
		at[reply.Controllers[i].Name] = i
	}
	for i, st := range c.Shares.List {
		holder := c.Holder(sharing.ID(i))
		reply.Shares = append(reply.Shares, operators.Share{
			Number: i, Zone: sharing.ZoneOf(c.Shares, sharing.ID(i)), Machines: machines[i], Holder: holder, Since: st.Since, Epoch: st.Epoch,
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
func (c *Core) moveShares(r *operators.Request) decision {
	session := c.View.Members[r.Controller]
	switch {
	case !c.Sharing():
		return noShares
	case !c.Acting():
		return no(operators.Later, "may not act now")
	case session == 0:
		return no(operators.NotFound, "no such controller takes part")
	case slices.Contains(c.Shares.Away, r.Controller):
		return no(operators.Refused, "it is to keep none")
	case len(r.Shares) == 0:
		return no(operators.Refused, "no share is named")
	}
	var moves []sharing.Move
	for _, id := range r.Shares {
		if id < 0 || id >= len(c.Shares.List) {
			return no(operators.NotFound, "no such share")
		}
		if c.Shares.List[id].Holder != session {
			moves = append(moves, sharing.Move{ID: sharing.ID(id), To: session, Cause: "operator"})
		}
	}
	c.members.AskMoves(moves)
	return decision{reply: operators.Reply{Code: operators.Done, Reason: "asked of their keepers"}}
}

// putAway has a controller keep nothing, or some again.
func (c *Core) putAway(r *operators.Request) decision {
	switch {
	case !c.Sharing():
		return noShares
	case c.View.Members[r.Controller] == 0 && !r.End:
		return no(operators.NotFound, "no such controller takes part")
	}
	away := slices.Contains(c.Shares.Away, r.Controller)
	done := operators.Reply{Code: operators.Done, Reason: "its shares move away"}
	if r.End {
		done.Reason = "shares move to it again"
	}
	if away != r.End {
		return decision{reply: done}
	}
	next := sharing.Copy(c.Shares)
	if r.End {
		next.Away = slices.DeleteFunc(next.Away, func(n protocol.NodeName) bool { return n == r.Controller })
	} else {
		next.Away = append(next.Away, r.Controller)
	}
	if len(next.Away) >= len(c.View.Members) && !r.End {
		return no(operators.Refused, "no controller would be left to keep machines")
	}
	return decision{reply: done, txn: &protocol.Txn{
		If:   []protocol.Condition{{Key: bookkeeping.SharesKey, Version: c.SharesVersion}},
		Then: []protocol.Change{{Put: bookkeeping.SharesKey, Value: *next}},
	}}
}
