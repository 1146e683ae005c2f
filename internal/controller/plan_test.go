package controller

import (
	"fmt"
	"testing"

	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// rentsOf is how many machines are asked for.
func rentsOf(actions []message.Action) (n int) {
	for _, a := range actions {
		if r, ok := a.(message.Provision); ok {
			n += r.Request.Count
		}
	}
	return n
}

// TestPlanSharesMachines: what is there works off all jobs together. Each of
// several jobs alone could be done in time by it; reckoned one by one, none
// would ever ask for a machine.
func TestPlanSharesMachines(t *testing.T) {
	for _, tc := range []struct {
		jobs int
		rent bool
	}{{1, false}, {12, true}} {
		b := planner(t)
		b.c.Types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 30, AllowZones: []protocol.Zone{"a"}, Price: 1, SpotPrice: 1}
		for i := range 4 {
			b.ready(protocol.MachineID(fmt.Sprint("vm-", i)))
		}
		for i := range tc.jobs {
			b.job(protocol.JobID(fmt.Sprint("job-", i)), "free", 20) // 200 of the 480 processor seconds until another machine is up
		}
		b.relay()
		if n := rentsOf(b.relay()); (n > 0) != tc.rent {
			t.Errorf("%d jobs: %d machines asked for", tc.jobs, n)
		}
	}
}

// TestPlanAsksAgainAtOnce: a large need is asked for in bounded requests, one of
// a kind at a time; its answer brings the next, or the next best kind.
func TestPlanAsksAgainAtOnce(t *testing.T) {
	b := planner(t)
	b.c.Settings.Site.Cloud.RPS = 4
	b.c.Types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}, Price: 1, SpotPrice: 1}
	b.job("job-1", "free", 2000)
	actions := append(b.relay(), b.relay()...)
	asked := map[protocol.Zone]int{}
	for round := range 3 {
		var answer []message.Action
		for _, a := range actions {
			r, ok := a.(message.Provision)
			if !ok {
				continue
			}
			if r.Request.Count > binpack.AskAtMost {
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

// TestGangZoneIsRented: what a gang bound to one zone lacks is rented there.
func TestGangZoneIsRented(t *testing.T) {
	b := planner(t)
	b.c.Types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}, Price: 1, SpotPrice: 1}
	b.zoned("a", 2, false, resource.Uses{})
	b.zoned("b", 3, false, resource.Uses{})
	o := b.gang("job-1", 5)
	o.Spot = false
	b.c.Live["job-1"] = o.LiveJob
	var zones []protocol.Zone
	for _, a := range append(b.relay(), b.relay()...) {
		if r, ok := a.(message.Provision); ok {
			zones = append(zones, r.Request.Zone)
			if r.Request.Count != 2 {
				t.Errorf("%d machines asked for, want 2", r.Request.Count)
			}
		}
	}
	if len(zones) != 1 || zones[0] != "b" {
		t.Errorf("rented in %v, want b", zones)
	}
}

// TestBoundJobIsRentedFor: a job whose tasks have to be in one zone is rented
// for where they are; machines elsewhere, however many, are of no use to it.
func TestBoundJobIsRentedFor(t *testing.T) {
	b := planner(t)
	b.c.Types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}, Price: 1, SpotPrice: 1}
	b.zoned("a", 20, false, resource.Uses{})
	b.zoned("b", 1, false, resource.Uses{})
	o := b.c.jobs.Adopt(&clusterstate.LiveJob{Job: protocol.Job{
		ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 60, CPUs: 1, MemoryGB: 1, EstimateS: 60, OneZone: true,
	}, Since: b.c.Now})
	o.Loaded = true
	o.Pending.FlipRange(0, 60)
	b.c.Live["job-1"] = o.LiveJob
	b.c.placer.PlaceAttempt(o, 0, b.c.table.Machines["vm-bfalse0"], 1)
	rented := 0
	for _, a := range append(b.relay(), b.relay()...) {
		if r, ok := a.(message.Provision); ok {
			rented += r.Request.Count
			if r.Request.Zone != "b" {
				t.Errorf("%d machines asked for in zone %s", r.Request.Count, r.Request.Zone)
			}
		}
	}
	if rented == 0 {
		t.Error("nothing rented")
	}
}
