package sharding

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// MemberLoad is the balancer's input for a member: its load and its state.
type MemberLoad struct {
	Member
	TickLateness time.Duration // how late its ticks are, on average
	Leaving      bool          // it is shutting down
	Cordoned     bool          // operators have requested that it holds no shards
	Unreachable  bool          // workers can't reach it
	// WarmedUp is set if the member has adopted the current view, has been in contact for long
	// enough to have received its peers' state of all machines, and still is in contact.
	WarmedUp bool
}

// Causes of moves, as they are sent to the holder of a shard and shown to operators.
const (
	causeBalance     = "balance"
	causeLeaving     = "leaving"
	causeCordoned    = "away"
	causeUnreachable = "deaf"
	causeSlow        = "slow"
)

const (
	// maxMoves bounds the number of moves in flight. For moves from members that are shutting
	// down, maxLeavingMoves applies in its place.
	maxMoves        = 8
	maxLeavingMoves = 64
	// moveTimeout is the time from its request after which a move that was not made no longer
	// counts as in flight. It is requested again no sooner than moveCooldown after its request.
	moveTimeout  = 5 * time.Second
	moveCooldown = 20 * time.Second
	// minBatchInterval is the minimum time between one batch of moves and the next.
	minBatchInterval = time.Second
)

// Balancer decides which shards move. It holds the moves that it has requested and the
// slowness of each member. The zero value is ready to use.
type Balancer struct {
	// requestedMoves holds the moves that were requested up to moveCooldown ago and are not
	// made yet.
	requestedMoves map[ID]requestedMove
	// pauseUntil is the time before which only moves from members that are shutting down are
	// requested.
	pauseUntil clock.Time
	slownessOf map[protocol.LeaseID]slowness // by the member's session
}

// requestedMove is a move that the holder of a shard was asked to make.
type requestedMove struct {
	shardEpoch  protocol.Term // epoch since which that holder has held the shard
	requestedAt clock.Time
}

// Step lists the moves that should be requested from the holders now, given the load of each
// shard and the state of each member, and counts them as requested. It lists none while a move
// is in flight, until minBatchInterval after the last moves were requested or made, or while a
// member is not warmed up. If a member is shutting down, none of this delays its moves, and
// only moves from such members are listed. See maxMoves for the number of moves.
func (b *Balancer) Step(now clock.Time, table *record.ShardTable, load []float64, members []MemberLoad) []Move {
	b.updateSlowness(now, members)
	inFlight := b.updateInFlight(now, table)
	leaving := slices.ContainsFunc(members, func(m MemberLoad) bool { return m.Leaving })
	anyNotWarm := slices.ContainsFunc(members, func(m MemberLoad) bool { return !m.WarmedUp })
	if !leaving && (inFlight > 0 || now < b.pauseUntil || anyNotWarm) {
		return nil
	}
	bySession := map[protocol.LeaseID]*MemberLoad{}
	for i := range members {
		bySession[members[i].Session] = &members[i]
	}
	var moves []Move
	for _, move := range RebalancingMoves(table, load, b.weighted(members)) {
		shard := table.List[move.Shard]
		holder := bySession[shard.Holder]
		if holder == nil {
			continue // the next view assigns shards without a holder
		}
		if leaving && !holder.Leaving {
			continue // members that are shutting down come first
		}
		if _, requested := b.requestedMoves[move.Shard]; requested || inFlight+len(moves) >= maxMovesFrom(holder) {
			continue
		}
		move.Cause = b.cause(holder)
		moves = append(moves, move)
		b.requestedMoves[move.Shard] = requestedMove{shardEpoch: shard.Since, requestedAt: now}
	}
	if len(moves) > 0 {
		b.pauseUntil = now.Add(minBatchInterval)
	}
	return moves
}

// maxMovesFrom returns the number of moves in flight at which no further move from a holder is
// requested.
func maxMovesFrom(holder *MemberLoad) int {
	if holder.Leaving {
		return maxLeavingMoves
	}
	return maxMoves
}

// cause returns why shards of a holder move: the state of the holder that gives it a lower
// weight than others, or causeBalance if there is none.
func (b *Balancer) cause(holder *MemberLoad) string {
	switch {
	case holder.Leaving:
		return causeLeaving
	case holder.Cordoned:
		return causeCordoned
	case holder.Unreachable:
		return causeUnreachable
	case b.slownessOf[holder.Session].step > 0:
		return causeSlow
	}
	return causeBalance
}

// updateInFlight deletes the requested moves that were made (the shard has a new holder) or
// were requested more than moveCooldown ago, and returns the number of those in flight. A move
// that was made within moveTimeout delays the next ones by minBatchInterval.
func (b *Balancer) updateInFlight(now clock.Time, table *record.ShardTable) (inFlight int) {
	if b.requestedMoves == nil {
		b.requestedMoves = map[ID]requestedMove{}
	}
	for id, move := range b.requestedMoves {
		age := now.Since(move.requestedAt)
		moved := int(id) >= len(table.List) || table.List[id].Since != move.shardEpoch
		switch {
		case moved || age > moveCooldown:
			delete(b.requestedMoves, id)
			if age <= moveTimeout {
				b.pauseUntil = max(b.pauseUntil, now.Add(minBatchInterval))
			}
		case age <= moveTimeout:
			inFlight++
		}
	}
	return inFlight
}

// weighted returns the members with the weights by which shards are distributed.
func (b *Balancer) weighted(members []MemberLoad) []Member {
	list := make([]Member, 0, len(members))
	for i := range members {
		member := members[i].Member
		member.Weight = b.weight(&members[i])
		list = append(list, member)
	}
	return list
}

// weight returns the capacity of a member relative to the other members': 0 if it is shutting
// down, cordoned or unreachable, else a weight that falls with the step of its slowness.
func (b *Balancer) weight(m *MemberLoad) float64 {
	if m.Leaving || m.Cordoned || m.Unreachable {
		return 0
	}
	return weights[b.slownessOf[m.Session].step]
}
