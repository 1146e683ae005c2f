package controller

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// TestResourcesAreReservedWhileClassArrives: resources are reserved for a class with a
// start objective as long as its jobs arrive; a burst counts once, other tasks may not use
// the reserved resources, and those of the class may.
func TestResourcesAreReservedWhileClassArrives(t *testing.T) {
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
	if b.c.workload.TasksToReserve(b.c.workload.Classes["gang"]) == 0 {
		t.Fatal("nothing is reserved")
	}
	b.ready("vm-1")
	m := b.c.waitTable.Machines["vm-1"]
	cl := b.c.placer.NewClaims()
	small := &jobs.Job{LiveJob: &clusterstate.LiveJob{Job: protocol.Job{Class: "array", Priority: "standard", CPUs: 1, MemoryGB: 1}}}
	if ok := cl.LeavesClassReserves(small, m, resource.Need(&small.Job)); ok {
		t.Error("another task may use the last reserved resources")
	}
	big := &jobs.Job{LiveJob: &clusterstate.LiveJob{Job: protocol.Job{Class: "gang", Priority: "high", CPUs: 4, MemoryGB: 1}}}
	if ok := cl.LeavesClassReserves(big, m, resource.Need(&big.Job)); !ok {
		t.Error("the class itself may not use them")
	}
	b.c.Now += Time(10 * time.Minute)
	if n := b.c.workload.TasksToReserve(b.c.workload.Classes["gang"]); n != 0 {
		t.Errorf("resources for %d tasks are reserved long after the last arrival", n)
	}
}
