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

// requestedMachines returns the number of machines that the actions request.
func requestedMachines(actions []message.Action) (count int) {
	for _, a := range actions {
		if r, ok := a.(message.Provision); ok {
			count += r.Request.Count
		}
	}
	return count
}

// TestPlanCountsMachinesOnceForAllJobs: the running machines have to process all jobs together.
// They could finish each of several jobs in time if it were the only one, so a separate plan
// for each job would never request a machine.
func TestPlanCountsMachinesOnceForAllJobs(t *testing.T) {
	for _, tc := range []struct {
		jobs     int
		requests bool
	}{{1, false}, {12, true}} {
		h := newAutoscalerHarness(t)
		h.core.Types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 30, AllowZones: []protocol.Zone{"a"}, Price: 1, SpotPrice: 1}
		for i := range 4 {
			h.bringIntoService(protocol.MachineID(fmt.Sprint("vm-", i)))
		}
		for i := range tc.jobs {
			h.acceptJob(protocol.JobID(fmt.Sprint("job-", i)), "free", 20) // needs 200 of the 480 processor seconds that are available until another machine has booted
		}
		h.nextPlan()
		if n := requestedMachines(h.nextPlan()); (n > 0) != tc.requests {
			t.Errorf("%d jobs: %d machines requested", tc.jobs, n)
		}
	}
}

// TestUnansweredProvisionRequestKeepsItsName: a request whose outcome is unknown is repeated
// under the same name. Otherwise no name is used twice.
func TestUnansweredProvisionRequestKeepsItsName(t *testing.T) {
	h := newAutoscalerHarness(t)
	h.core.Types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, AllowZones: []protocol.Zone{"a"}, Price: 1, SpotPrice: 1}
	h.acceptJob("job-1", "free", 9)
	var requests []protocol.ProvisionRequest
	collect := func(actions []message.Action) {
		for _, a := range actions {
			if r, ok := a.(message.Provision); ok {
				requests = append(requests, r.Request)
			}
		}
	}
	for range 3 {
		collect(h.nextPlan())
	}
	if len(requests) != 1 {
		t.Fatalf("requests %v, want one", requests)
	}
	first := requests[0]
	h.step(message.ProvisionDone{Request: first, Outcome: message.OutcomeUnknown})
	collect(h.nextPlan())
	if len(requests) != 2 || requests[1] != first {
		t.Fatalf("requests %v, want the first one repeated", requests)
	}
	collect(h.step(message.ProvisionDone{Request: first, Outcome: message.OutcomeFailed}))
	h.now += Time(time.Minute)
	collect(h.nextPlan())
	if len(requests) < 3 || requests[2].Name == first.Name {
		t.Errorf("requests %v, want a new name", requests)
	}
}

// TestProvisionAnswerTriggersNextRequest: many machines are requested by requests of a bounded
// size, with one request of a kind in progress at a time. The answer to a request triggers the
// next one, of the same kind or of the next best kind.
func TestProvisionAnswerTriggersNextRequest(t *testing.T) {
	h := newAutoscalerHarness(t)
	h.core.Settings.Site.Cloud.RPS = 4
	h.core.Types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}, Price: 1, SpotPrice: 1}
	h.acceptJob("job-1", "free", 2000)
	actions := append(h.nextPlan(), h.nextPlan()...)
	requested := map[protocol.Zone]int{}
	for round := range 3 {
		var following []message.Action
		for _, a := range actions {
			r, ok := a.(message.Provision)
			if !ok {
				continue
			}
			if r.Request.Count > binpack.MaxPerRequest {
				t.Fatalf("%d machines in one request", r.Request.Count)
			}
			requested[r.Request.Zone] += r.Request.Count
			done := message.ProvisionDone{Request: r.Request, Outcome: message.OutcomeDone}
			if r.Request.Zone == "a" {
				for i := range r.Request.Count {
					done.Machines = append(done.Machines, protocol.MachineID(fmt.Sprint("vm-", round, "-", i)))
				}
			}
			following = append(following, h.step(done)...)
		}
		actions = following
	}
	if requested["a"] != 150 || requested["b"] != 50 {
		t.Errorf("requested %v, want 150 in the zone that has machines, 50 in the zone that has none", requested)
	}
}

// TestMissingMachinesOfGangAreRequestedInItsZone: if a gang that is bound to one zone lacks
// machines, they are requested in that zone.
func TestMissingMachinesOfGangAreRequestedInItsZone(t *testing.T) {
	h := newAutoscalerHarness(t)
	h.core.Types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}, Price: 1, SpotPrice: 1}
	h.addMachinesInZone("a", 2, false, resource.Uses{})
	h.addMachinesInZone("b", 3, false, resource.Uses{})
	job := h.adoptGang("job-1", 5)
	job.Spot = false
	h.core.Live["job-1"] = job.LiveJob
	var zones []protocol.Zone
	for _, a := range append(h.nextPlan(), h.nextPlan()...) {
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

// TestMachinesForBoundJobAreRequestedInItsZone: for a job whose tasks have to run in one zone,
// machines are requested in the zone of its first tasks. Machines in other zones do not reduce
// the number, since the job can't use them.
func TestMachinesForBoundJobAreRequestedInItsZone(t *testing.T) {
	h := newAutoscalerHarness(t)
	h.core.Types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}, Price: 1, SpotPrice: 1}
	h.addMachinesInZone("a", 20, false, resource.Uses{})
	h.addMachinesInZone("b", 1, false, resource.Uses{})
	job := h.core.jobs.AdoptJob(&clusterstate.LiveJob{Job: protocol.Job{
		ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 60, CPUs: 1, MemoryGB: 1, EstimateS: 60, OneZone: true,
	}, SubmittedAt: h.core.Now})
	job.Loaded = true
	job.Pending.FlipRange(0, 60)
	h.core.Live["job-1"] = job.LiveJob
	h.core.placer.PlaceAttempt(job, 0, h.core.waitTable.Machines["vm-bfalse0"], 1)
	requested := 0
	for _, a := range append(h.nextPlan(), h.nextPlan()...) {
		if r, ok := a.(message.Provision); ok {
			requested += r.Request.Count
			if r.Request.Zone != "b" {
				t.Errorf("%d machines requested in zone %s", r.Request.Count, r.Request.Zone)
			}
		}
	}
	if requested == 0 {
		t.Error("no machine requested")
	}
}
