package coordination

import (
	"testing"
	"time"

	"damsonkeel/internal/coordination/room"
	"damsonkeel/internal/protocol"
)

func TestQuantile(t *testing.T) {
	for _, tc := range []struct {
		mean, p float64
		want    int
	}{{0, 0.9, 0}, {1, 0.7, 1}, {1, 0.9, 2}, {4, 0.5, 4}} {
		if got := quantile(tc.mean, tc.p); got != tc.want {
			t.Errorf("quantile(%v, %v) = %d, want %d", tc.mean, tc.p, got, tc.want)
		}
	}
}

// TestReserve: room is kept for a class with an objective while its jobs come,
// a burst counts once, small tasks leave the room alone and the class uses it.
func TestReserve(t *testing.T) {
	b := newBench(t)
	gang := func(id protocol.JobID) {
		j := &protocol.Job{ID: id, Class: "gang", Team: "free", Kind: protocol.KindGang, Priority: "high", Tasks: 1, CPUs: 4, MemoryGB: 1}
		b.c.now = b.now
		b.c.noteArrival(j)
	}
	for range 9 {
		gang("job-1")
	}
	if n := len(b.c.classes["gang"].arrivals); n != 1 {
		t.Errorf("a burst counts as %d arrivals", n)
	}
	for range 3 {
		b.now += Time(8 * time.Second)
		gang("job-1")
	}
	if b.c.reserve(b.c.classes["gang"]) == 0 {
		t.Fatal("no room is kept")
	}
	b.ready("vm-1")
	m := b.c.machines["vm-1"]
	kept := b.c.keptRoom()
	small := &ownedJob{liveJob: &liveJob{Job: protocol.Job{Class: "array", Priority: "standard", CPUs: 1, MemoryGB: 1}}}
	if ok := spared(small, m, room.Need(&small.Job), kept); ok {
		t.Error("a small task may take the last room kept")
	}
	big := &ownedJob{liveJob: &liveJob{Job: protocol.Job{Class: "gang", Priority: "high", CPUs: 4, MemoryGB: 1}}}
	if ok := spared(big, m, room.Need(&big.Job), kept); !ok {
		t.Error("the class itself may not use it")
	}
	b.c.now += Time(10 * time.Minute)
	if n := b.c.reserve(b.c.classes["gang"]); n != 0 {
		t.Errorf("room for %d is kept long after the last came", n)
	}
}

// TestAlone: a controller that may not act tells a refusal meant for it alone
// from an outage by whether a peer says that it acts.
func TestAlone(t *testing.T) {
	b := newBench(t, "node-1")
	if b.c.alone() {
		t.Error("alone though nobody is known to act")
	}
	b.c.relayed("node-1", &Relay{Acting: true})
	if !b.c.alone() {
		t.Error("not alone though a peer acts")
	}
	b.now += Time(time.Minute)
	b.c.now = b.now
	if b.c.alone() {
		t.Error("alone by what a peer said a minute ago")
	}
}

// TestExpect: what is reckoned to come grows with how often jobs come and how
// unlike they are, and covers at least what comes on average.
func TestExpect(t *testing.T) {
	b := newBench(t)
	seen := func(sizes ...float64) float64 {
		k := &class{job: protocol.Job{Class: "array", CPUs: 1, MemoryGB: 1}, share: 0.8}
		for i, s := range sizes {
			k.arrivals = append(k.arrivals, arrival{at: b.c.now - Time(time.Duration(len(sizes)-i)*4*time.Second), tasks: s})
		}
		return b.c.arrivingOf(k, func(a arrival) float64 { return a.tasks }).within(8)
	}
	b.c.now = Time(time.Hour)
	even, uneven := seen(10, 10, 10, 10, 10, 10, 10, 10, 10, 10), seen(1, 19, 1, 19, 1, 19, 1, 19, 1, 19)
	if even < 20 || uneven <= even {
		t.Errorf("%v of even sizes, %v of uneven ones; 20 come in 8 s on average", even, uneven)
	}
	if few := seen(10, 10, 10); few >= even {
		t.Errorf("%v of three, %v of ten", few, even)
	}
	k := &class{job: protocol.Job{Class: "array", CPUs: 1, MemoryGB: 1}, share: 0.8}
	for i := range 10 { // as often as before, and none for 20 s
		k.arrivals = append(k.arrivals, arrival{at: b.c.now - Time(time.Duration(20+4*(9-i))*time.Second), tasks: 10})
	}
	if after := b.c.arrivingOf(k, func(a arrival) float64 { return a.tasks }).within(8); after >= even {
		t.Errorf("%v after a long silence, %v before", after, even)
	}
}

// TestRoomThatEndsIsNotKept: what ends while a machine boots makes room, too;
// what comes at once is kept room for all the same. A gang finds no room
// piece by piece.
func TestRoomThatEndsIsNotKept(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	b.ready("vm-2")
	k := &class{job: protocol.Job{Class: "cert", Kind: protocol.KindArray, CPUs: 1, MemoryGB: 1}, share: 0.8, awaited: true}
	for i := range 10 {
		k.arrivals = append(k.arrivals, arrival{at: b.c.now - Time(time.Duration(9-i)*4*time.Second), tasks: float64(10 + i)})
	}
	none := b.c.reserve(k)
	b.c.machines["vm-1"].told.Ending = Use{CPUs: 2, GB: 8}
	b.c.machines["vm-2"].told.Ending = Use{CPUs: 2, GB: 8}
	some := b.c.reserve(k)
	b.c.machines["vm-2"].told.Ending = Use{CPUs: 20, GB: 80}
	many := b.c.reserve(k)
	if some >= none || many > some || many < 15 {
		t.Errorf("room kept for %d, with ends for %d, with many for %d", none, some, many)
	}
	k.job.Kind = protocol.KindGang
	if n := b.c.reserve(k); n != none {
		t.Errorf("room kept for %d of a gang, want %d", n, none)
	}
}
