package controller

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/workload"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// TestReserve: room is kept for a class with an objective while its jobs come,
// a burst counts once, small tasks leave the room alone and the class uses it.
func TestReserve(t *testing.T) {
	b := newBench(t)
	gang := func(id protocol.JobID) {
		j := &protocol.Job{ID: id, Class: "gang", Team: "free", Kind: protocol.KindGang, Priority: "high", Tasks: 1, CPUs: 4, MemoryGB: 1}
		b.c.Now = b.now
		b.c.workload.RecordArrival(j)
	}
	for range 9 {
		gang("job-1")
	}
	if n := len(b.c.workload.Classes["gang"].Arrivals); n != 1 {
		t.Errorf("a burst counts as %d arrivals", n)
	}
	for range 3 {
		b.now += Time(8 * time.Second)
		gang("job-1")
	}
	if b.c.workload.Reserve(b.c.workload.Classes["gang"]) == 0 {
		t.Fatal("no room is kept")
	}
	b.ready("vm-1")
	m := b.c.table.Machines["vm-1"]
	cl := b.c.placer.NewClaims()
	small := &jobs.Job{LiveJob: &clusterstate.LiveJob{Job: protocol.Job{Class: "array", Priority: "standard", CPUs: 1, MemoryGB: 1}}}
	if ok := cl.LeavesClaimed(small, m, resource.Need(&small.Job)); ok {
		t.Error("a small task may take the last room kept")
	}
	big := &jobs.Job{LiveJob: &clusterstate.LiveJob{Job: protocol.Job{Class: "gang", Priority: "high", CPUs: 4, MemoryGB: 1}}}
	if ok := cl.LeavesClaimed(big, m, resource.Need(&big.Job)); !ok {
		t.Error("the class itself may not use it")
	}
	b.c.Now += Time(10 * time.Minute)
	if n := b.c.workload.Reserve(b.c.workload.Classes["gang"]); n != 0 {
		t.Errorf("room for %d is kept long after the last came", n)
	}
}

// TestAlone: a controller that may not act tells a refusal meant for it alone
// from an outage by whether a peer says that it acts.
func TestAlone(t *testing.T) {
	b := newBench(t, "node-1")
	if b.c.members.OthersLead() {
		t.Error("alone though nobody is known to act")
	}
	b.c.stateUpdated("node-1", &message.StateUpdate{Acting: true})
	if !b.c.members.OthersLead() {
		t.Error("not alone though a peer acts")
	}
	b.now += Time(time.Minute)
	b.c.Now = b.now
	if b.c.members.OthersLead() {
		t.Error("alone by what a peer said a minute ago")
	}
}

// TestRoomThatEndsIsNotKept: what ends while a machine boots makes room, too;
// what comes at once is kept room for all the same. A gang finds no room
// piece by piece.
func TestRoomThatEndsIsNotKept(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	b.ready("vm-2")
	k := &workload.Class{Job: protocol.Job{Class: "cert", Kind: protocol.KindJobArray, CPUs: 1, MemoryGB: 1}, Share: 0.8, HasStartObjective: true}
	for i := range 10 {
		k.Arrivals = append(k.Arrivals, forecast.Arrival{At: b.c.Now - Time(time.Duration(9-i)*4*time.Second), Tasks: float64(10 + i)})
	}
	none := b.c.workload.Reserve(k)
	b.c.table.Machines["vm-1"].Reported.Ending = message.LevelUse{CPUs: 2, GB: 8}
	b.c.table.Machines["vm-2"].Reported.Ending = message.LevelUse{CPUs: 2, GB: 8}
	some := b.c.workload.Reserve(k)
	b.c.table.Machines["vm-2"].Reported.Ending = message.LevelUse{CPUs: 20, GB: 80}
	many := b.c.workload.Reserve(k)
	if some >= none || many > some || many < 15 {
		t.Errorf("room kept for %d, with ends for %d, with many for %d", none, some, many)
	}
	k.Job.Kind = protocol.KindGang
	if n := b.c.workload.Reserve(k); n != none {
		t.Errorf("room kept for %d of a gang, want %d", n, none)
	}
}
