package controller

import (
	"fmt"
	"testing"
	"time"

	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// requestedMachines is how many machines the actions request.
func requestedMachines(actions []message.Action) (n int) {
	for _, a := range actions {
		if r, ok := a.(message.Provision); ok {
			n += r.Request.Count
		}
	}
	return n
}

// TestPlanCountsMachinesOnceForAllJobs: the machines that are up work off all jobs
// together. They could finish each of several jobs alone in time: a plan for each job by
// itself would never request a machine.
func TestPlanCountsMachinesOnceForAllJobs(t *testing.T) {
	for _, tc := range []struct {
		jobs     int
		requests bool
	}{{1, false}, {12, true}} {
		b := newAutoscalerBench(t)
		b.c.Types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 30, AllowZones: []protocol.Zone{"a"}, Price: 1, SpotPrice: 1}
		for i := range 4 {
			b.ready(protocol.MachineID(fmt.Sprint("vm-", i)))
		}
		for i := range tc.jobs {
			b.job(protocol.JobID(fmt.Sprint("job-", i)), "free", 20) // 200 of the 480 processor seconds until another machine is up
		}
		b.nextPlan()
		if n := requestedMachines(b.nextPlan()); (n > 0) != tc.requests {
			t.Errorf("%d jobs: %d machines requested", tc.jobs, n)
		}
	}
}

// TestUnansweredProvisionRequestKeepsItsName: a request whose outcome is unknown is
// repeated by the same name, and no name is used twice otherwise.
func TestUnansweredProvisionRequestKeepsItsName(t *testing.T) {
	b := newAutoscalerBench(t)
	b.c.Types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, AllowZones: []protocol.Zone{"a"}, Price: 1, SpotPrice: 1}
	b.job("job-1", "free", 9)
	var requests []protocol.ProvisionRequest
	collect := func(actions []message.Action) {
		for _, a := range actions {
			if r, ok := a.(message.Provision); ok {
				requests = append(requests, r.Request)
			}
		}
	}
	for range 3 {
		collect(b.nextPlan())
	}
	if len(requests) != 1 {
		t.Fatalf("requests %v, want one", requests)
	}
	first := requests[0]
	b.step(message.ProvisionDone{Request: first, Outcome: message.OutcomeUnknown})
	collect(b.nextPlan())
	if len(requests) != 2 || requests[1] != first {
		t.Fatalf("requests %v, want the same again", requests)
	}
	collect(b.step(message.ProvisionDone{Request: first, Outcome: message.OutcomeFailed}))
	b.now += Time(time.Minute)
	collect(b.nextPlan())
	if len(requests) < 3 || requests[2].Name == first.Name {
		t.Errorf("requests %v, want a new name", requests)
	}
}

// TestAnswerBringsNextProvisionRequest: a large need is met by requests of a bounded size,
// one of a kind at a time; the answer to one brings the next, or the next best kind.
func TestAnswerBringsNextProvisionRequest(t *testing.T) {
	b := newAutoscalerBench(t)
	b.c.Settings.Site.Cloud.RPS = 4
	b.c.Types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}, Price: 1, SpotPrice: 1}
	b.job("job-1", "free", 2000)
	actions := append(b.nextPlan(), b.nextPlan()...)
	asked := map[protocol.Zone]int{}
	for round := range 3 {
		var answer []message.Action
		for _, a := range actions {
			r, ok := a.(message.Provision)
			if !ok {
				continue
			}
			if r.Request.Count > binpack.MaxPerRequest {
				t.Fatalf("%d in one request", r.Request.Count)
			}
			asked[r.Request.Zone] += r.Request.Count
			got := message.ProvisionDone{Request: r.Request, Outcome: message.OutcomeDone}
			if r.Request.Zone == "a" {
				for i := range r.Request.Count {
					got.Machines = append(got.Machines, protocol.MachineID(fmt.Sprint("vm-", round, "-", i)))
				}
			}
			answer = append(answer, b.step(got)...)
		}
		actions = answer
	}
	if asked["a"] != 150 || asked["b"] != 50 {
		t.Errorf("asked for %v, want 150 where there are more, 50 where there are none", asked)
	}
}

// TestMissingMachinesOfGangAreRequestedInItsZone: the machines that a gang bound to one
// zone lacks are requested there.
func TestMissingMachinesOfGangAreRequestedInItsZone(t *testing.T) {
	b := newAutoscalerBench(t)
	b.c.Types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}, Price: 1, SpotPrice: 1}
	b.zoned("a", 2, false, resource.Uses{})
	b.zoned("b", 3, false, resource.Uses{})
	o := b.gang("job-1", 5)
	o.Spot = false
	b.c.Live["job-1"] = o.LiveJob
	var zones []protocol.Zone
	for _, a := range append(b.nextPlan(), b.nextPlan()...) {
		if r, ok := a.(message.Provision); ok {
			zones = append(zones, r.Request.Zone)
			if r.Request.Count != 2 {
				t.Errorf("%d machines requested, want 2", r.Request.Count)
			}
		}
	}
	if len(zones) != 1 || zones[0] != "b" {
		t.Errorf("requested in %v, want b", zones)
	}
}

// TestMachinesForBoundJobAreRequestedInItsZone: for a job whose tasks have to be in one
// zone, machines are requested in the zone where its first tasks are; machines elsewhere,
// however many, are of no use to it.
func TestMachinesForBoundJobAreRequestedInItsZone(t *testing.T) {
	b := newAutoscalerBench(t)
	b.c.Types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}, Price: 1, SpotPrice: 1}
	b.zoned("a", 20, false, resource.Uses{})
	b.zoned("b", 1, false, resource.Uses{})
	o := b.c.jobs.AdoptJob(&clusterstate.LiveJob{Job: protocol.Job{
		ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 60, CPUs: 1, MemoryGB: 1, EstimateS: 60, OneZone: true,
	}, SubmittedAt: b.c.Now})
	o.Loaded = true
	o.Pending.FlipRange(0, 60)
	b.c.Live["job-1"] = o.LiveJob
	b.c.placer.PlaceAttempt(o, 0, b.c.waitTable.Machines["vm-bfalse0"], 1)
	requested := 0
	for _, a := range append(b.nextPlan(), b.nextPlan()...) {
		if r, ok := a.(message.Provision); ok {
			requested += r.Request.Count
			if r.Request.Zone != "b" {
				t.Errorf("%d machines requested in zone %s", r.Request.Count, r.Request.Zone)
			}
		}
	}
	if requested == 0 {
		t.Error("nothing requested")
	}
}
