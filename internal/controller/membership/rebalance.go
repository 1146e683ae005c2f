package membership

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
)

const (
	// warmUp is how long a controller takes part before shards move to it, or away from
	// others for it: by then it has its peers' state of all machines.
	warmUp = 3 * time.Second
	// balancerKey is the rendezvous key by which the member that rebalances is chosen.
	balancerKey = "shares"
)

// RequestMoves queues the moves that an operator asks for; they are sent on the next
// tick.
func (ms *Members) RequestMoves(moves []sharding.Move) {
	ms.requestedMoves = append(ms.requestedMoves, moves...)
}

// SendRequestedMoves sends the moves that operators have asked for. They are dropped
// where this controller may not move shards.
func (ms *Members) SendRequestedMoves() {
	moves := ms.requestedMoves
	ms.requestedMoves = nil
	if len(moves) > 0 && ms.Sharded() && ms.HoldsLease() {
		ms.sendMoves(moves)
	}
}

// Balance moves shards between members, if this controller is the one that decides on
// it in this view: the holder of each shard is asked to hand it over.
func (ms *Members) Balance() {
	if !ms.Sharded() || !ms.HoldsLease() || clusterstate.Rendezvous(ms.View, balancerKey) != ms.Self {
		ms.balancer = sharding.Balancer{}
		return
	}
	var members []sharding.MemberLoad
	zones := ms.zones()
	for name, p := range ordered.Of(ms.peers) {
		members = append(members, ms.memberLoad(name, zones[name], p))
	}
	load := sharding.Loads(ms.Shards, ms.machinesByZone())
	ms.sendMoves(ms.balancer.Step(ms.Now, ms.Shards, load, members))
}

// memberLoad is what the balancer needs to know of a member.
func (ms *Members) memberLoad(name protocol.NodeName, zone protocol.Zone, p *peer) sharding.MemberLoad {
	adopted := p.term >= ms.View.Term
	warmedUp := p.firstContact != 0 && ms.Since(p.firstContact) >= warmUp
	return sharding.MemberLoad{
		Member:      sharding.Member{Name: name, Session: p.session, Zone: zone},
		Late:        time.Duration(p.load.LateMS * float64(time.Millisecond)),
		Leaving:     p.load.Leaving,
		Away:        slices.Contains(ms.Shards.Away, name),
		Unreachable: unreachable(ms.View, name),
		Warm:        adopted && warmedUp && ms.recent(p.lastContact),
	}
}

// route is the way of a shard from its holder to another member.
type route struct{ from, to protocol.NodeName }

// sendMoves asks the holders of shards to hand them over, in one message for each
// holder and target.
func (ms *Members) sendMoves(moves []sharding.Move) {
	requests := map[route]*message.MoveShards{}
	var routes []route
	for _, move := range moves {
		r := route{ms.Holder(move.ID), clusterstate.NameOf(ms.View, move.To)}
		if requests[r] == nil {
			requests[r] = &message.MoveShards{Term: ms.View.Term, To: r.to, Cause: move.Cause}
			routes = append(routes, r)
		}
		shard := message.Tenured{Share: int(move.ID), Tenure: ms.Shards.List[move.ID].Since}
		requests[r].Shares = append(requests[r].Shares, shard)
	}
	for _, r := range routes {
		request := requests[r]
		ms.Log.Info("requested move of shards", "from", r.from, "to", r.to, "shards", len(request.Shares), "cause", request.Cause)
		ms.Send(r.from, message.PeerMessage{Move: request})
	}
}
