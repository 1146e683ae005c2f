package controller

import (
	"fmt"
	"testing"
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/placement"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// addMachinesInZone adds machines in a zone. Attempts on each of them use the given resources,
// by level.
func (h *harness) addMachinesInZone(zone protocol.Zone, count int, spot bool, uses resource.Uses) {
	for i := range count {
		id := protocol.MachineID(fmt.Sprintf("vm-%s%v%d", zone, spot, i))
		machine := &waittable.Machine{
			Machine: &clusterstate.Machine{
				ID: id, Epoch: 1, Info: protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16},
				Record: record.Machine{Zone: zone, Spot: spot},
			},
			AnnouncedUses: uses,
		}
		free := resource.Capacity(machine.Info).Minus(uses.NonPreemptible(0))
		machine.State = message.MachineState{Machine: id, Epoch: 1, FreeCPUs: free.CPUs, FreeGB: free.GB}
		h.core.waitTable.Add(machine)
	}
}

// adoptGang has the core own a gang that is bound to one zone, with all tasks pending.
func (h *harness) adoptGang(id protocol.JobID, tasks uint32) *jobs.Job {
	job := h.core.jobs.AdoptJob(&clusterstate.LiveJob{Job: protocol.Job{
		ID: id, Class: "gang", Team: "free", Kind: protocol.KindGang, Priority: "high", Tasks: tasks, CPUs: 4, MemoryGB: 1,
		EstimateS: 100, CheckpointS: 10, OneZone: true, Spot: true,
	}, SubmittedAt: h.core.Now})
	job.Loaded = true
	job.Pending.FlipRange(0, uint(tasks))
	job.Level = resource.LevelOf(job.Priority, false)
	return job
}

// placeGang places a gang under the given claims and returns its placements.
func (h *harness) placeGang(job *jobs.Job, claims *placement.Claims) []message.Placement {
	return h.core.placer.PlaceGang(job, map[protocol.Team]resource.Amount{}, claims)
}

// fullyUsedAt returns the uses of a machine whose four processors are all used at a level.
func fullyUsedAt(level resource.Level) (uses resource.Uses) {
	uses.Add(level, resource.Amount{CPUs: 4})
	return uses
}

// TestGangPlacedWholeInZoneWithMostFreeResources: a gang that is bound to one zone is placed in
// a zone that has resources for all its tasks. If there are several, it is placed in the one
// with the most resources that are free now. It is never placed partially.
func TestGangPlacedWholeInZoneWithMostFreeResources(t *testing.T) {
	h := newHarness(t, "node-1")
	h.addMachinesInZone("a", 5, false, fullyUsedAt(2)) // more machines, used by work of the same level
	h.addMachinesInZone("b", 3, false, fullyUsedAt(1)) // used by work that may be preempted
	h.addMachinesInZone("c", 2, false, resource.Uses{})
	if placements := h.placeGang(h.adoptGang("job-1", 4), newClaims()); placements != nil {
		t.Fatalf("%d of 4 tasks placed", len(placements))
	}
	for _, tc := range []struct {
		id    protocol.JobID
		tasks uint32
		zone  protocol.Zone
	}{{"job-2", 3, "b"}, {"job-3", 2, "c"}} {
		job := h.adoptGang(tc.id, tc.tasks)
		if placements := h.placeGang(job, newClaims()); len(placements) != int(tc.tasks) {
			t.Fatalf("%s: %d tasks placed", tc.id, len(placements))
		}
		for _, attempt := range job.Placed {
			if attempt.Zone != tc.zone {
				t.Errorf("%s is in zone %s, want %s", tc.id, attempt.Zone, tc.zone)
			}
		}
	}
}

// TestGangClaimsBlockLaterGangsForLimitedTime: for a limited time, later gangs may not use the
// machines that a gang claims. Jobs that the gang may preempt may use them.
func TestGangClaimsBlockLaterGangsForLimitedTime(t *testing.T) {
	h := newHarness(t, "node-1")
	h.addMachinesInZone("a", 3, false, resource.Uses{})
	claims := newClaims()
	large, small := h.adoptGang("job-1", 4), h.adoptGang("job-2", 2)
	if h.placeGang(large, claims) != nil || len(claims.Gangs) != 3 {
		t.Fatalf("%d machines claimed, want 3", len(claims.Gangs))
	}
	if placements := h.placeGang(small, claims); placements != nil {
		t.Error("a later gang is placed on claimed machines")
	}
	urgent := h.adoptGang("job-3", 2)
	urgent.Level = resource.LevelOf("production", false)
	array := &jobs.Job{LiveJob: &clusterstate.LiveJob{}, Level: resource.LevelOf("standard", false)}
	for m := range claims.Gangs {
		if !claims.Blocks(urgent, m) || claims.Blocks(array, m) {
			t.Error("claims do not block a job that can't be preempted, or block one that can")
		}
	}
	h.core.Now += Time(4 * 8 * time.Second)
	if h.placeGang(large, newClaims()); h.placeGang(small, &placement.Claims{Gangs: map[*waittable.Machine]resource.Level{}}) == nil {
		t.Error("the claims do not expire")
	}
}

// TestGangsAvoidSpotMachinesThatAreLostOften: gangs avoid spot machines once these have been
// terminated so often that a gang would make no progress. Job arrays still use them.
func TestGangsAvoidSpotMachinesThatAreLostOften(t *testing.T) {
	h := newHarness(t, "node-1")
	job := h.adoptGang("job-1", 2)
	if h.core.workload.AvoidsSpot(&job.Job) {
		t.Fatal("spot machines are avoided before any was lost")
	}
	for range 40 {
		machine := &waittable.Machine{Machine: &clusterstate.Machine{Record: record.Machine{Spot: true}}, State: message.MachineState{Noticed: true}}
		h.core.workload.RecordSpotLoss(machine)
		machine.State = message.MachineState{Draining: true, Noticed: true}
		h.core.workload.RecordSpotLoss(machine) // terminated by the autoscaler
	}
	if h.core.workload.SpotPreemptions.RecentPreemptions() != 40 {
		t.Errorf("%v losses counted, want 40", h.core.workload.SpotPreemptions.RecentPreemptions())
	}
	if !h.core.workload.AvoidsSpot(&job.Job) {
		t.Fatal("spot machines are not avoided although they are lost often")
	}
	if array := (&protocol.Job{Kind: protocol.KindJobArray, Tasks: 500, EstimateS: 10}); h.core.workload.AvoidsSpot(array) {
		t.Error("spot machines are avoided for a job array")
	}
	h.addMachinesInZone("a", 2, true, resource.Uses{})
	h.addMachinesInZone("b", 2, false, fullyUsedAt(1))
	h.placeGang(job, newClaims())
	for _, attempt := range job.Placed {
		if attempt.Zone != "b" {
			t.Error("the gang is placed on a spot machine instead of one with preemptible work")
		}
	}
	h.core.workload.SpotPreemptions.NoteUptime(0, 10*forecast.SpotHalfLife)
	if h.core.workload.AvoidsSpot(&job.Job) {
		t.Error("spot machines are avoided long after the last loss")
	}
}

// newClaims returns an empty set of claims.
func newClaims() *placement.Claims {
	return &placement.Claims{Gangs: map[*waittable.Machine]resource.Level{}}
}
