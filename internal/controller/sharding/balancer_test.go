package sharding

import (
	"fmt"
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// play lets the balancer decide each second, and makes its moves at once.
func play(b *Balancer, table *record.ShardTable, seconds int, members func(second int) []MemberLoad) (moves int) {
	load := Loads(table, map[protocol.Zone]int{"a": 1300})
	for i := range seconds {
		for _, m := range b.Step(clock.Time(i+1)*clock.Time(time.Second), table, load, members(i)) {
			Assign(table, m.ID, m.To)
			moves++
		}
	}
	return moves
}

// shardsOf counts the shards that a member holds.
func shardsOf(table *record.ShardTable, session protocol.LeaseID) (n int) {
	for _, st := range table.List {
		if st.Holder == session {
			n++
		}
	}
	return n
}

// threeMembers are members of which the ticks of the last are late by a time.
func threeMembers(late time.Duration) []MemberLoad {
	var members []MemberLoad
	for i := range 3 {
		members = append(members, MemberLoad{
			Member: Member{Name: protocol.NodeName(fmt.Sprint("n", i)), Session: protocol.LeaseID(10 + i)},
			Late:   20 * time.Millisecond,
			Warm:   true,
		})
	}
	members[2].Late = late
	return members
}

// TestBalance: a slow controller loses shards step by step and gets them back later; one
// that is as late as all others loses none; one that joins gets its shards in bounded
// batches; one that shuts down hands over all at once.
func TestBalance(t *testing.T) {
	b, table := &Balancer{}, InitialTable([]protocol.Zone{"a"})
	for id := range table.List {
		Assign(table, ID(id), protocol.LeaseID(10+id%2))
	}
	if n := play(b, table, 1, func(int) []MemberLoad { return threeMembers(0) }); n == 0 || n > maxMoves {
		t.Errorf("%d moves at once to a member that joined", n)
	}
	play(b, table, 60, func(int) []MemberLoad { return threeMembers(0) })
	if n := shardsOf(table, 12); n < 9 || n > 12 {
		t.Fatalf("%d of %d shards for one of three", n, len(table.List))
	}
	if n := play(b, table, 300, func(int) []MemberLoad { return threeMembers(0) }); n != 0 {
		t.Errorf("%d moves though nothing changes", n)
	}
	b = &Balancer{}
	if n := play(b, table, 4, func(int) []MemberLoad { return threeMembers(time.Second) }); n != 0 {
		t.Errorf("%d moves for a moment of slowness", n)
	}
	b = &Balancer{}
	play(b, table, 120, func(int) []MemberLoad { return threeMembers(time.Second) })
	slow := shardsOf(table, 12)
	if slow < 2 || slow > 6 {
		t.Errorf("the slow member holds %d", slow)
	}
	b.pauseUntil = 0
	for id := range b.paces {
		p := b.paces[id]
		p.slowerSince, p.fasterSince = 0, 0
		b.paces[id] = p
	}
	play(b, table, 300, func(int) []MemberLoad { return threeMembers(0) })
	if n := shardsOf(table, 12); n < 9 {
		t.Errorf("%d after it was fast again", n)
	}
	all := func(int) []MemberLoad {
		members := threeMembers(time.Second)
		members[0].Late, members[1].Late = time.Second, time.Second
		return members
	}
	if n := play(&Balancer{}, table, 100, all); n != 0 {
		t.Errorf("%d moves though all are as late", n)
	}
	play(&Balancer{}, table, 2, func(int) []MemberLoad {
		members := threeMembers(0)
		members[1].Leaving = true
		return members
	})
	if n := shardsOf(table, 11); n != 0 {
		t.Errorf("%d are left with a member that shuts down", n)
	}
}
