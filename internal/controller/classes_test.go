package controller

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// TestResourcesAreReservedWhileClassArrives: resources are reserved for a class with a start
// objective as long as jobs of the class arrive. A burst counts as a single arrival. Tasks of
// other classes may not use the reserved resources, tasks of the class may.
func TestResourcesAreReservedWhileClassArrives(t *testing.T) {
	h := newHarness(t)
	submitGang := func(id protocol.JobID) {
		job := &protocol.Job{ID: id, Class: "gang", Team: "free", Kind: protocol.KindGang, Priority: "high", Tasks: 1, CPUs: 4, MemoryGB: 1}
		h.core.Now = h.now
		h.core.workload.RecordArrival(job)
	}
	for range 9 {
		submitGang("job-1")
	}
	if n := len(h.core.workload.Classes["gang"].Arrivals); n != 1 {
		t.Errorf("a burst counts as %d arrivals", n)
	}
	for range 3 {
		h.now += Time(8 * time.Second)
		submitGang("job-1")
	}
	if h.core.workload.TasksToReserve(h.core.workload.Classes["gang"]) == 0 {
		t.Fatal("no resources are reserved for the class")
	}
	h.bringIntoService("vm-1")
	machine := h.core.waitTable.Machines["vm-1"]
	claims := h.core.placer.NewClaims()
	otherClass := &jobs.Job{LiveJob: &clusterstate.LiveJob{Job: protocol.Job{Class: "array", Priority: "standard", CPUs: 1, MemoryGB: 1}}}
	if ok := claims.LeavesClassReserves(otherClass, machine, resource.Need(&otherClass.Job)); ok {
		t.Error("a task of another class may use the last reserved resources")
	}
	sameClass := &jobs.Job{LiveJob: &clusterstate.LiveJob{Job: protocol.Job{Class: "gang", Priority: "high", CPUs: 4, MemoryGB: 1}}}
	if ok := claims.LeavesClassReserves(sameClass, machine, resource.Need(&sameClass.Job)); !ok {
		t.Error("a task of the class may not use the reserved resources")
	}
	h.core.Now += Time(10 * time.Minute)
	if n := h.core.workload.TasksToReserve(h.core.workload.Classes["gang"]); n != 0 {
		t.Errorf("resources for %d tasks are reserved long after the last arrival", n)
	}
}
