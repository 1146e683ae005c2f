package sharding

import (
	"fmt"
	"testing"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"pgregory.net/rapid"
)

// TestWantedComesToRest: rebalancing ends after fewer moves than there are shards, however
// many of the wanted moves are made each time, so that no shard oscillates. Every member
// then holds no more than its limit, and those without weight hold nothing.
func TestWantedComesToRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, load, members := drawSite(t)
		moved := 0
		for round := 0; ; round++ {
			want := Rebalanced(table, load, members)
			if len(want) == 0 {
				break
			}
			if round > 100 {
				t.Fatalf("after %d rounds and %d moves %d are wanted", round, moved, len(want))
			}
			n := rapid.IntRange(1, 60).Draw(t, "at once")
			for _, m := range want[:min(n, len(want))] {
				Assign(table, m.ID, m.To)
				moved++
			}
		}
		if moved > len(table.List) {
			t.Errorf("%d moves of %d shards", moved, len(table.List))
		}
		a := newAssignment(table, load, members)
		for i, m := range a.members {
			if m.Weight == 0 && a.held[i] > 0 || a.held[i] > a.limit(i)+1e-6 {
				t.Errorf("%s holds %.0f, at most %.0f", m.Name, a.held[i], a.limit(i))
			}
		}
	})
}

// TestOrphansMoveNothingElse: members that stay hold what they held, every shard has a
// holder, the epoch of every shard that moves rises, and the table survives encoding.
func TestOrphansMoveNothingElse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, load, members := drawSite(t)
		before := Copy(table)
		for _, m := range Orphans(table, load, members) {
			Assign(table, m.ID, m.To)
		}
		for id, now := range table.List {
			was := before.List[id]
			stays := false
			for _, m := range members {
				stays = stays || m.Session == was.Holder && m.Weight > 0
			}
			if stays && now != was || now.Holder == 0 || !stays && now.Epoch <= before.Epoch {
				t.Fatalf("shard %d: %+v was %+v", id, now, was)
			}
		}
		b, err := protocol.Encode(*table)
		var read record.ShardTable
		if err != nil || protocol.Decode(b, &read) != nil || read.Epoch != table.Epoch || fmt.Sprint(read.List) != fmt.Sprint(table.List) {
			t.Fatalf("read %+v, %v", read, err)
		}
	})
}
