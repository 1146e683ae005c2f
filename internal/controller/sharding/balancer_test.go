package sharding

import (
	"fmt"
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// runBalancer calls the balancer once per second and applies its moves at once.
func runBalancer(b *Balancer, table *record.ShardTable, seconds int, members func(second int) []MemberLoad) (moves int) {
	load := Loads(table, map[protocol.Zone]int{"a": 1300})
	for i := range seconds {
		for _, m := range b.Step(clock.Time(i+1)*clock.Time(time.Second), table, load, members(i)) {
			Assign(table, m.Shard, m.To)
			moves++
		}
	}
	return moves
}

// countShards counts the shards that a member holds.
func countShards(table *record.ShardTable, session protocol.LeaseID) (n int) {
	for _, shard := range table.List {
		if shard.Holder == session {
			n++
		}
	}
	return n
}

// threeMembers returns three members; the ticks of the last one are late by the given
// duration.
func threeMembers(late time.Duration) []MemberLoad {
	var members []MemberLoad
	for i := range 3 {
		members = append(members, MemberLoad{
			Member:       Member{Name: protocol.NodeName(fmt.Sprint("n", i)), Session: protocol.LeaseID(10 + i)},
			TickLateness: 20 * time.Millisecond,
			WarmedUp:     true,
		})
	}
	members[2].TickLateness = late
	return members
}

// TestBalancerMovesShardsOfSlowJoiningAndLeavingMembers checks that a slow member loses
// shards step by step and gets them back later, that a member that is as late as all
// others loses none, that a member that joins gets its shards in bounded batches, and that
// a member that shuts down hands over all its shards at once.
func TestBalancerMovesShardsOfSlowJoiningAndLeavingMembers(t *testing.T) {
	b, table := &Balancer{}, InitialTable([]protocol.Zone{"a"})
	for id := range table.List {
		Assign(table, ID(id), protocol.LeaseID(10+id%2))
	}
	if n := runBalancer(b, table, 1, func(int) []MemberLoad { return threeMembers(0) }); n == 0 || n > maxMoves {
		t.Errorf("%d moves at once to a member that joined", n)
	}
	runBalancer(b, table, 60, func(int) []MemberLoad { return threeMembers(0) })
	if n := countShards(table, 12); n < 9 || n > 12 {
		t.Fatalf("one of three members holds %d of %d shards", n, len(table.List))
	}
	if n := runBalancer(b, table, 300, func(int) []MemberLoad { return threeMembers(0) }); n != 0 {
		t.Errorf("%d moves although nothing changed", n)
	}
	b = &Balancer{}
	if n := runBalancer(b, table, 4, func(int) []MemberLoad { return threeMembers(time.Second) }); n != 0 {
		t.Errorf("%d moves for a short slowness", n)
	}
	b = &Balancer{}
	runBalancer(b, table, 120, func(int) []MemberLoad { return threeMembers(time.Second) })
	slow := countShards(table, 12)
	if slow < 2 || slow > 6 {
		t.Errorf("the slow member holds %d shards", slow)
	}
	b.pauseUntil = 0
	for session := range b.slownessOf {
		state := b.slownessOf[session]
		state.slowSince, state.notSlowSince = 0, 0
		b.slownessOf[session] = state
	}
	runBalancer(b, table, 300, func(int) []MemberLoad { return threeMembers(0) })
	if n := countShards(table, 12); n < 9 {
		t.Errorf("the member holds %d shards after it is fast again", n)
	}
	all := func(int) []MemberLoad {
		members := threeMembers(time.Second)
		members[0].TickLateness, members[1].TickLateness = time.Second, time.Second
		return members
	}
	if n := runBalancer(&Balancer{}, table, 100, all); n != 0 {
		t.Errorf("%d moves although all members are equally late", n)
	}
	runBalancer(&Balancer{}, table, 2, func(int) []MemberLoad {
		members := threeMembers(0)
		members[1].Leaving = true
		return members
	})
	if n := countShards(table, 11); n != 0 {
		t.Errorf("a member that shuts down still holds %d shards", n)
	}
}
