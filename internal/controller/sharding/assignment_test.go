package sharding

import (
	"fmt"
	"testing"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"pgregory.net/rapid"
)

// TestRebalancingConverges checks that rebalancing ends after no more moves than there are
// shards, however many of the returned moves are made each time, so that no shard
// oscillates. Every member then holds no more than its limit, and members without weight
// hold nothing.
func TestRebalancingConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, load, members := drawShardsAndMembers(t)
		moved := 0
		for round := 0; ; round++ {
			moves := RebalancingMoves(table, load, members)
			if len(moves) == 0 {
				break
			}
			if round > 100 {
				t.Fatalf("after %d rounds and %d moves, %d more moves are returned", round, moved, len(moves))
			}
			n := rapid.IntRange(1, 60).Draw(t, "at once")
			for _, move := range moves[:min(n, len(moves))] {
				Assign(table, move.Shard, move.To)
				moved++
			}
		}
		if moved > len(table.List) {
			t.Errorf("%d moves of %d shards", moved, len(table.List))
		}
		a := newAssignment(table, load, members)
		for i, m := range a.members {
			if m.Weight == 0 && a.heldLoad[i] > 0 || a.heldLoad[i] > a.limit(i)+1e-6 {
				t.Errorf("%s holds %.0f, at most %.0f", m.Name, a.heldLoad[i], a.limit(i))
			}
		}
	})
}

// TestOrphansKeepOtherHolders checks that remaining members keep their shards, that every
// shard has a holder, that the epoch of every shard that moves rises, and that the table
// is unchanged by encoding and decoding.
func TestOrphansKeepOtherHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, load, members := drawShardsAndMembers(t)
		before := Copy(table)
		for _, move := range OrphanMoves(table, load, members) {
			Assign(table, move.Shard, move.To)
		}
		for id, current := range table.List {
			previous := before.List[id]
			holderStays := false
			for _, member := range members {
				holderStays = holderStays || member.Session == previous.Holder && member.Weight > 0
			}
			if holderStays && current != previous || current.Holder == 0 || !holderStays && current.Epoch <= before.Epoch {
				t.Fatalf("shard %d: %+v, was %+v before", id, current, previous)
			}
		}
		encoded, err := protocol.Encode(*table)
		var decoded record.ShardTable
		if err != nil || protocol.Decode(encoded, &decoded) != nil || decoded.Epoch != table.Epoch || fmt.Sprint(decoded.List) != fmt.Sprint(table.List) {
			t.Fatalf("decoded %+v, %v", decoded, err)
		}
	})
}
