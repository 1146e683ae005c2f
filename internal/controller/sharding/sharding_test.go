package sharding

import (
	"fmt"
	"os"
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/fixedseed"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }

// draw is a site with a record of its shares, kept by anybody, some by nobody.
func draw(t *rapid.T) (*record.ShardTable, []float64, []Member) {
	zones := []protocol.Zone{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "zones")]
	s := InitialTable(zones)
	machines := map[protocol.Zone]int{}
	for _, z := range zones {
		machines[z] = rapid.IntRange(0, 2000).Draw(t, "machines")
	}
	var members []Member
	for i := range rapid.IntRange(1, 5).Draw(t, "members") {
		m := Member{Name: protocol.NodeName(fmt.Sprint("n", i)), Session: protocol.LeaseID(10 + i), Weight: rapid.SampledFrom([]float64{1, 1, 1, 0.5, 0.25, 0}).Draw(t, "weight")}
		if rapid.IntRange(0, 3).Draw(t, "zoned") > 0 {
			m.Zone = zones[rapid.IntRange(0, len(zones)-1).Draw(t, "zone")]
		}
		members = append(members, m)
	}
	members[0].Weight = 1
	for id := range s.List {
		if n := rapid.IntRange(0, len(members)).Draw(t, "holder"); n > 0 {
			Assign(s, ID(id), members[n-1].Session)
		}
	}
	return s, Loads(s, machines), members
}

// TestWantedComesToRest: what is wanted is wanted no more once it is so, in few lots
// reservation moves, however many of them come about each time; everybody then keeps about
// what it may, and who may keep nothing keeps nothing. Nothing swings to and fro.
func TestWantedComesToRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, load, members := draw(t)
		moved := 0
		for round := 0; ; round++ {
			want := Rebalanced(s, load, members)
			if len(want) == 0 {
				break
			}
			if round > 100 {
				t.Fatalf("after %d rounds and %d moves %d are wanted", round, moved, len(want))
			}
			n := rapid.IntRange(1, 60).Draw(t, "at once")
			for _, m := range want[:min(n, len(want))] {
				Assign(s, m.ID, m.To)
				moved++
			}
		}
		if moved > len(s.List) {
			t.Errorf("%d moves of %d shares", moved, len(s.List))
		}
		a := newAssignment(s, load, members)
		for i, m := range a.members {
			if m.Weight == 0 && a.has[i] > 0 || a.has[i] > a.most(i)+1e-6 {
				t.Errorf("%s keeps %.0f, at most %.0f", m.Name, a.has[i], a.most(i))
			}
		}
	})
}

// TestOrphansMoveNothingElse: who stays keeps what it kept, and all is kept by
// somebody; no epoch falls, whatever is done.
func TestOrphansMoveNothingElse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, load, members := draw(t)
		before := Copy(s)
		for _, m := range Orphans(s, load, members) {
			Assign(s, m.ID, m.To)
		}
		for id, now := range s.List {
			was := before.List[id]
			stays := false
			for _, m := range members {
				stays = stays || m.Session == was.Holder && m.Weight > 0
			}
			if stays && now != was || now.Holder == 0 || !stays && now.Epoch <= before.Epoch {
				t.Fatalf("share %d: %+v was %+v", id, now, was)
			}
		}
		b, err := protocol.Encode(*s)
		var read record.ShardTable
		if err != nil || protocol.Decode(b, &read) != nil || read.Epoch != s.Epoch || fmt.Sprint(read.List) != fmt.Sprint(s.List) {
			t.Fatalf("read %+v, %v", read, err)
		}
	})
}

// TestShareOfAMachine: a machine's share is of its zone, and is the same whoever the
// members are.
func TestShareOfAMachine(t *testing.T) {
	s := InitialTable([]protocol.Zone{"b", "a", "b"})
	used := map[ID]bool{}
	for i := range 2000 {
		m := protocol.MachineID(fmt.Sprintf("vm-%06d", i))
		id := Of(s, m, "b")
		if used[id] = true; ZoneOf(s, id) != "b" {
			t.Fatalf("%s in zone %s", m, ZoneOf(s, id))
		}
		if id := Of(s, m, "elsewhere"); int(id) >= len(s.List) {
			t.Fatalf("share %d", id)
		}
	}
	if len(used) != slots {
		t.Errorf("%d shares of a zone are used", len(used))
	}
}

// play lets the balancer decide each second, and moves come about at once.
func play(b *Balancer, s *record.ShardTable, seconds int, seen func(second int) []MemberLoad) (moves int) {
	load := Loads(s, map[protocol.Zone]int{"a": 1300})
	for i := range seconds {
		for _, m := range b.Step(clock.Time(i+1)*clock.Time(time.Second), s, load, seen(i)) {
			Assign(s, m.ID, m.To)
			moves++
		}
	}
	return moves
}

func kept(s *record.ShardTable, session protocol.LeaseID) (n int) {
	for _, st := range s.List {
		if st.Holder == session {
			n++
		}
	}
	return n
}

// three are members of which one is as slow as is said.
func three(late time.Duration) []MemberLoad {
	var seen []MemberLoad
	for i := range 3 {
		seen = append(seen, MemberLoad{Member: Member{Name: protocol.NodeName(fmt.Sprint("n", i)), Session: protocol.LeaseID(10 + i)}, Late: 20 * time.Millisecond, Warm: true})
	}
	seen[2].Late = late
	return seen
}

// TestBalance: a slow controller loses shares step by step and gets them back later;
// one that is as late as all others loses none; one that comes gets its part in
// bounded lots; one that leaves hands over all at once.
func TestBalance(t *testing.T) {
	b, s := &Balancer{}, InitialTable([]protocol.Zone{"a"})
	for id := range s.List {
		Assign(s, ID(id), protocol.LeaseID(10+id%2))
	}
	if n := play(b, s, 1, func(int) []MemberLoad { return three(0) }); n == 0 || n > movesAtOnce {
		t.Errorf("%d moves at once for one that has come", n)
	}
	play(b, s, 60, func(int) []MemberLoad { return three(0) })
	if n := kept(s, 12); n < 9 || n > 12 {
		t.Fatalf("%d of %d shares for one of three", n, len(s.List))
	}
	if n := play(b, s, 300, func(int) []MemberLoad { return three(0) }); n != 0 {
		t.Errorf("%d moves though nothing changes", n)
	}
	b = &Balancer{}
	if n := play(b, s, 4, func(int) []MemberLoad { return three(time.Second) }); n != 0 {
		t.Errorf("%d moves for a moment of slowness", n)
	}
	b = &Balancer{}
	play(b, s, 120, func(int) []MemberLoad { return three(time.Second) })
	slow := kept(s, 12)
	if slow < 2 || slow > 6 {
		t.Errorf("the slow one keeps %d", slow)
	}
	b.restTil = 0
	for id := range b.paces {
		p := b.paces[id]
		p.slower, p.faster = 0, 0
		b.paces[id] = p
	}
	play(b, s, 300, func(int) []MemberLoad { return three(0) })
	if n := kept(s, 12); n < 9 {
		t.Errorf("%d after it was fast again", n)
	}
	all := func(int) []MemberLoad {
		seen := three(time.Second)
		seen[0].Late, seen[1].Late = time.Second, time.Second
		return seen
	}
	if n := play(&Balancer{}, s, 100, all); n != 0 {
		t.Errorf("%d moves though all are as late", n)
	}
	play(&Balancer{}, s, 2, func(int) []MemberLoad {
		seen := three(0)
		seen[1].Leaving = true
		return seen
	})
	if n := kept(s, 11); n != 0 {
		t.Errorf("%d are left with one that ends", n)
	}
}
