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
	// warmUpTime is the time after a controller's first state update from which it counts as
	// warmed up: by then it has received its peers' state of all machines. While any member
	// is not warmed up, the balancer moves no shards, unless a member is shutting down.
	warmUpTime = 3 * time.Second
	// balancerKey is the rendezvous key that selects the member that runs the balancer.
	balancerKey = "shares"
)

// RequestMoves queues moves of shards that an operator requested. SendRequestedMoves sends them
// on the next tick.
func (ms *Members) RequestMoves(moves []sharding.Move) {
	ms.requestedMoves = append(ms.requestedMoves, moves...)
}

// SendRequestedMoves asks the holders of shards to make the moves that operators requested. The
// requests are dropped if there is no shard table in use or this controller does not hold its
// lease.
func (ms *Members) SendRequestedMoves() {
	moves := ms.requestedMoves
	ms.requestedMoves = nil
	if len(moves) > 0 && ms.Sharded() && ms.HoldsLease() {
		ms.sendMoves(moves)
	}
}

// Balance runs the balancer if this controller holds its lease and is the member that
// rendezvous hashing selects for it in this view, and asks the holder of each shard that
// should move to hand it over. On all other members it discards the balancer's state.
func (ms *Members) Balance() {
	if !ms.Sharded() || !ms.HoldsLease() || clusterstate.Rendezvous(ms.View, balancerKey) != ms.Self {
		ms.balancer = sharding.Balancer{}
		return
	}
	var members []sharding.MemberLoad
	zones := ms.zones()
	for name, p := range ordered.ByKey(ms.peers) {
		members = append(members, ms.memberLoad(name, zones[name], p))
	}
	load := sharding.Loads(ms.Shards, ms.machinesByZone())
	ms.sendMoves(ms.balancer.Step(ms.Now, ms.Shards, load, members))
}

// memberLoad returns the balancer's input for a member. The member counts as warmed up if it
// has adopted the current view, sent its first state update at least warmUpTime ago, and is
// still in contact.
func (ms *Members) memberLoad(name protocol.NodeName, zone protocol.Zone, p *peer) sharding.MemberLoad {
	adopted := p.adoptedTerm >= ms.View.Term
	warmedUp := p.firstContact != 0 && ms.Since(p.firstContact) >= warmUpTime
	return sharding.MemberLoad{
		Member:       sharding.Member{Name: name, Session: p.session, Zone: zone},
		TickLateness: time.Duration(p.load.LateMS * float64(time.Millisecond)),
		Leaving:      p.load.Leaving,
		Cordoned:     slices.Contains(ms.Shards.Away, name),
		Unreachable:  unreachable(ms.View, name),
		WarmedUp:     adopted && warmedUp && ms.isRecent(p.lastContact),
	}
}

// handover is the pair of the holder of a shard and the member that the shard moves to.
type handover struct{ from, to protocol.NodeName }

// sendMoves asks the holders of shards to hand them over, in one message for each
// holder and target.
func (ms *Members) sendMoves(moves []sharding.Move) {
	requests := map[handover]*message.MoveShards{}
	var handovers []handover
	for _, move := range moves {
		pair := handover{ms.Holder(move.Shard), clusterstate.NameOf(ms.View, move.To)}
		if requests[pair] == nil {
			requests[pair] = &message.MoveShards{Term: ms.View.Term, To: pair.to, Cause: move.Cause}
			handovers = append(handovers, pair)
		}
		shard := message.Tenured{Share: int(move.Shard), Tenure: ms.Shards.List[move.Shard].Since}
		requests[pair].Shares = append(requests[pair].Shares, shard)
	}
	for _, pair := range handovers {
		request := requests[pair]
		ms.Log.Info("requested move of shards", "from", pair.from, "to", pair.to, "shards", len(request.Shares), "cause", request.Cause)
		ms.Send(pair.from, message.PeerMessage{Move: request})
	}
}
