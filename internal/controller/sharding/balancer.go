package sharding

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// MemberLoad is what the balancer knows of a member.
type MemberLoad struct {
	Member
	Late        time.Duration // how late its ticks are, on average
	Leaving     bool          // it is shutting down
	Away        bool          // operators have asked that it holds no shards
	Unreachable bool          // workers can't reach it
	Warm        bool          // it has taken part for a while, and is in contact
}

// Causes of moves, as the holder of a shard and operators see them.
const (
	causeBalance     = "balance"
	causeLeaving     = "leaving"
	causeAway        = "away"
	causeUnreachable = "deaf"
	causeSlow        = "slow"
)

const (
	// maxMoves bounds the moves in flight, and maxLeavingMoves those from members that
	// are shutting down.
	maxMoves        = 8
	maxLeavingMoves = 64
	// moveTimeout is how long a move may take; one that has not been made by then is not
	// requested again until moveCooldown after it was.
	moveTimeout  = 5 * time.Second
	moveCooldown = 20 * time.Second
	// batchPause is the least time between one batch of moves and the next.
	batchPause = time.Second
)

// Balancer decides which shards move. It remembers the moves that it has requested and
// how slow members were found to be. The zero value is ready to use.
type Balancer struct {
	moving     map[ID]requestedMove
	pauseUntil clock.Time
	paces      map[protocol.LeaseID]pace
}

// requestedMove is the move of a shard that its holder was asked for.
type requestedMove struct {
	shardEpoch  protocol.Term // of the holder that was asked
	requestedAt clock.Time
}

// Step lists the moves that are to be requested now.
func (b *Balancer) Step(now clock.Time, table *record.ShardTable, load []float64, members []MemberLoad) []Move {
	b.updatePaces(now, members)
	inFlight := b.updateInFlight(now, table)
	leaving := slices.ContainsFunc(members, func(m MemberLoad) bool { return m.Leaving })
	cold := slices.ContainsFunc(members, func(m MemberLoad) bool { return !m.Warm })
	if !leaving && (inFlight > 0 || now < b.pauseUntil || cold) {
		return nil
	}
	bySession := map[protocol.LeaseID]*MemberLoad{}
	for i := range members {
		bySession[members[i].Session] = &members[i]
	}
	var moves []Move
	for _, move := range Rebalanced(table, load, b.weighted(members)) {
		shard := table.List[move.ID]
		holder := bySession[shard.Holder]
		if holder == nil {
			continue // shards without a holder get one with the next view
		}
		if leaving && !holder.Leaving {
			continue // members that are shutting down come first
		}
		if _, requested := b.moving[move.ID]; requested || inFlight+len(moves) >= maxMovesFrom(holder) {
			continue
		}
		move.Cause = b.cause(holder)
		moves = append(moves, move)
		b.moving[move.ID] = requestedMove{shardEpoch: shard.Since, requestedAt: now}
	}
	if len(moves) > 0 {
		b.pauseUntil = now.Add(batchPause)
	}
	return moves
}

// maxMovesFrom bounds the moves in flight when a shard of a holder is to move.
func maxMovesFrom(holder *MemberLoad) int {
	if holder.Leaving {
		return maxLeavingMoves
	}
	return maxMoves
}

// cause says why shards of a holder move.
func (b *Balancer) cause(holder *MemberLoad) string {
	switch {
	case holder.Leaving:
		return causeLeaving
	case holder.Away:
		return causeAway
	case holder.Unreachable:
		return causeUnreachable
	case b.paces[holder.Session].step > 0:
		return causeSlow
	}
	return causeBalance
}

// updateInFlight forgets the moves that were made, or timed out long enough ago to be
// requested again, and counts those in flight.
func (b *Balancer) updateInFlight(now clock.Time, table *record.ShardTable) (inFlight int) {
	if b.moving == nil {
		b.moving = map[ID]requestedMove{}
	}
	for id, move := range b.moving {
		age := now.Since(move.requestedAt)
		moved := int(id) >= len(table.List) || table.List[id].Since != move.shardEpoch
		switch {
		case moved || age > moveCooldown:
			delete(b.moving, id)
			if age <= moveTimeout {
				b.pauseUntil = max(b.pauseUntil, now.Add(batchPause))
			}
		case age <= moveTimeout:
			inFlight++
		}
	}
	return inFlight
}

// weighted returns the members with the weights by which shards are divided among them.
func (b *Balancer) weighted(members []MemberLoad) []Member {
	list := make([]Member, 0, len(members))
	for i := range members {
		member := members[i].Member
		member.Weight = b.weight(&members[i])
		list = append(list, member)
	}
	return list
}

// weight is the capacity of a member relative to the others'.
func (b *Balancer) weight(m *MemberLoad) float64 {
	if m.Leaving || m.Away || m.Unreachable {
		return 0
	}
	return weights[b.paces[m.Session].step]
}
