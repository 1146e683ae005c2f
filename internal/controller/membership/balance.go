package membership

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
)

// warmAfter is how long a controller takes part before shares move to it, or away
// from others for it: by then it has its peers' word on all machines.
const warmAfter = 3 * time.Second

// NoteLoad takes what a peer, or this controller, says of itself.
func (ms *Members) NoteLoad(name protocol.NodeName, l message.Load) {
	if p := ms.peers[name]; p != nil {
		if p.heardFirst == 0 {
			p.heardFirst = ms.Now
		}
		p.load, p.heardAt = l, ms.Now
	}
}

// endedAttempts reports whether a member is to end.
func (ms *Members) leaving(name protocol.NodeName) bool {
	p := ms.peers[name]
	return p != nil && p.load.Leaving
}

// RequestMoves has shares moved that an operator names; they go with the next tick.
func (ms *Members) RequestMoves(moves []sharding.Move) {
	ms.requestedMoves = append(ms.requestedMoves, moves...)
}

// SendRequestedMoves moves what operators have asked for.
func (ms *Members) SendRequestedMoves() {
	moves := ms.requestedMoves
	if ms.requestedMoves = nil; len(moves) > 0 && ms.Sharded() && ms.HoldsLease() {
		ms.sendMoves(moves)
	}
}

// Balance has shares moved, if this controller is the one that decides: each move is
// requestedMoves of the share's keeper.
func (ms *Members) Balance() {
	if !ms.Sharded() || !ms.HoldsLease() || clusterstate.Rendezvous(ms.View, "shares") != ms.Self {
		ms.balancer = sharding.Balancer{}
		return
	}
	var seen []sharding.MemberLoad
	zones := ms.zones()
	for name, p := range ordered.Of(ms.peers) {
		deaf := len(ms.View.Deaf) < len(ms.View.Members) && slices.Contains(ms.View.Deaf, name)
		seen = append(seen, sharding.MemberLoad{
			Member: sharding.Member{Name: name, Session: p.session, Zone: zones[name]},
			Late:   time.Duration(p.load.LateMS * float64(time.Millisecond)), Leaving: p.load.Leaving, Away: slices.Contains(ms.Shards.Away, name), Unreachable: deaf,
			Warm: p.term >= ms.View.Term && p.heardFirst != 0 && ms.Since(p.heardFirst) >= warmAfter && ms.Since(p.heardAt) < 3*ms.Op.RelayEvery,
		})
	}
	ms.sendMoves(ms.balancer.Step(ms.Now, ms.Shards, ms.loads(), seen))
}

// sendMoves asks the keepers of shares to hand them over, those of one keeper for the same
// target at once.
func (ms *Members) sendMoves(moves []sharding.Move) {
	type way struct{ from, to protocol.NodeName }
	asked := map[way]*message.MoveShards{}
	var ways []way
	for _, m := range moves {
		st := ms.Shards.List[m.ID]
		w := way{ms.Holder(m.ID), clusterstate.NameOf(ms.View, m.To)}
		if asked[w] == nil {
			asked[w] = &message.MoveShards{Term: ms.View.Term, To: w.to, Cause: m.Cause}
			ways = append(ways, w)
		}
		asked[w].Shares = append(asked[w].Shares, message.Tenured{Share: int(m.ID), Tenure: st.Since})
	}
	for _, w := range ways {
		ms.Log.Info("moving shares", "from", w.from, "to", w.to, "shares", len(asked[w].Shares), "cause", asked[w].Cause)
		ms.Send(w.from, message.PeerMessage{Move: asked[w]})
	}
}

// Controllers lists the members as operators see them.
func (ms *Members) Controllers() (list []operatorapi.Controller) {
	zones := ms.zones()
	for name, p := range ordered.Of(ms.peers) {
		list = append(list, operatorapi.Controller{
			Name: name, Zone: zones[name], LateMS: p.load.LateMS, Leaving: p.load.Leaving,
			Deaf: slices.Contains(ms.View.Deaf, name), Away: slices.Contains(ms.Shards.Away, name),
		})
	}
	return list
}
