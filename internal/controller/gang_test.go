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

// zoned registers machines of a zone; held is what attempts use of each, by level.
func (b *bench) zoned(z protocol.Zone, n int, spot bool, held resource.Uses) {
	for i := range n {
		id := protocol.MachineID(fmt.Sprintf("vm-%s%v%d", z, spot, i))
		m := &waittable.Machine{
			Machine: &clusterstate.Machine{
				ID: id, Epoch: 1, Info: protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16},
				Record: record.Machine{Zone: z, Spot: spot},
			},
			AnnouncedUses: held,
		}
		free := resource.Capacity(m.Info).Minus(held.NonPreemptible(0))
		m.State = message.MachineState{Machine: id, Epoch: 1, FreeCPUs: free.CPUs, FreeGB: free.GB}
		b.c.waitTable.Add(m)
	}
}

func (b *bench) gang(id protocol.JobID, tasks uint32) *jobs.Job {
	o := b.c.jobs.AdoptJob(&clusterstate.LiveJob{Job: protocol.Job{
		ID: id, Class: "gang", Team: "free", Kind: protocol.KindGang, Priority: "high", Tasks: tasks, CPUs: 4, MemoryGB: 1,
		EstimateS: 100, CheckpointS: 10, OneZone: true, Spot: true,
	}, SubmittedAt: b.c.Now})
	o.Loaded = true
	o.Pending.FlipRange(0, uint(tasks))
	o.Level = resource.LevelOf(o.Priority, false)
	return o
}

func (b *bench) placeGang(o *jobs.Job, claims *placement.Claims) []message.Placement {
	return b.c.placer.PlaceGang(o, map[protocol.Team]resource.Amount{}, claims)
}

// fullyUsedAt returns the uses of a machine all of whose four processors work of a level uses.
func fullyUsedAt(level resource.Level) (uses resource.Uses) {
	uses.Add(level, resource.Amount{CPUs: 4})
	return uses
}

// TestGangPlacedWholeInZoneWithMostFreeResources: a gang bound to one zone is placed in a
// zone that holds all of it, of such zones in the one with more resources free now; it is
// never placed in part.
func TestGangPlacedWholeInZoneWithMostFreeResources(t *testing.T) {
	b := newBench(t, "node-1")
	b.zoned("a", 5, false, fullyUsedAt(2)) // more machines, used by work of the same level
	b.zoned("b", 3, false, fullyUsedAt(1)) // used by work that may be preempted
	b.zoned("c", 2, false, resource.Uses{})
	if ps := b.placeGang(b.gang("job-1", 4), noClaims()); ps != nil {
		t.Fatalf("%d of 4 tasks placed", len(ps))
	}
	for _, tc := range []struct {
		id    protocol.JobID
		tasks uint32
		zone  protocol.Zone
	}{{"job-2", 3, "b"}, {"job-3", 2, "c"}} {
		o := b.gang(tc.id, tc.tasks)
		if ps := b.placeGang(o, noClaims()); len(ps) != int(tc.tasks) {
			t.Fatalf("%s: %d tasks placed", tc.id, len(ps))
		}
		for _, p := range o.Placed {
			if p.Zone != tc.zone {
				t.Errorf("%s is in zone %s, want %s", tc.id, p.Zone, tc.zone)
			}
		}
	}
}

// TestGangClaimsBlockLaterGangsForLimitedTime: the machines that a gang claims are left to
// it by gangs after it, for a limited time; jobs that may be preempted for it may use them.
func TestGangClaimsBlockLaterGangsForLimitedTime(t *testing.T) {
	b := newBench(t, "node-1")
	b.zoned("a", 3, false, resource.Uses{})
	claims := noClaims()
	large, small := b.gang("job-1", 4), b.gang("job-2", 2)
	if b.placeGang(large, claims) != nil || len(claims.Gangs) != 3 {
		t.Fatalf("%d machines claimed, want 3", len(claims.Gangs))
	}
	if ps := b.placeGang(small, claims); ps != nil {
		t.Error("a later gang takes claimed machines")
	}
	urgent := b.gang("job-3", 2)
	urgent.Level = resource.LevelOf("production", false)
	array := &jobs.Job{LiveJob: &clusterstate.LiveJob{}, Level: resource.LevelOf("standard", false)}
	for m := range claims.Gangs {
		if !claims.Blocks(urgent, m) || claims.Blocks(array, m) {
			t.Error("claims do not block a job that can't be preempted, or block one that can")
		}
	}
	b.c.Now += Time(4 * 8 * time.Second)
	if b.placeGang(large, noClaims()); b.placeGang(small, &placement.Claims{Gangs: map[*waittable.Machine]resource.Level{}}) == nil {
		t.Error("the claim does not expire")
	}
}

// TestGangsAvoidSpotMachinesThatAreLostOften: gangs avoid spot machines once these are seen
// to be terminated so often that a gang would make no progress; arrays use them all the same.
func TestGangsAvoidSpotMachinesThatAreLostOften(t *testing.T) {
	b := newBench(t, "node-1")
	o := b.gang("job-1", 2)
	if b.c.workload.AvoidsSpot(&o.Job) {
		t.Fatal("avoided before any was lost")
	}
	for range 40 {
		m := &waittable.Machine{Machine: &clusterstate.Machine{Record: record.Machine{Spot: true}}, State: message.MachineState{Noticed: true}}
		b.c.workload.RecordSpotLoss(m)
		m.State = message.MachineState{Draining: true, Noticed: true}
		b.c.workload.RecordSpotLoss(m) // terminated by the autoscaler
	}
	if b.c.workload.SpotPreemptions.RecentPreemptions() != 40 {
		t.Errorf("%v losses counted, want 40", b.c.workload.SpotPreemptions.RecentPreemptions())
	}
	if !b.c.workload.AvoidsSpot(&o.Job) {
		t.Fatal("not avoided though they are lost all the time")
	}
	if array := (&protocol.Job{Kind: protocol.KindJobArray, Tasks: 500, EstimateS: 10}); b.c.workload.AvoidsSpot(array) {
		t.Error("avoided for an array")
	}
	b.zoned("a", 2, true, resource.Uses{})
	b.zoned("b", 2, false, fullyUsedAt(1))
	b.placeGang(o, noClaims())
	for _, p := range o.Placed {
		if p.Zone != "b" {
			t.Error("placed on a spot machine rather than where something may be preempted")
		}
	}
	b.c.workload.SpotPreemptions.NoteUptime(0, 10*forecast.SpotHalfLife)
	if b.c.workload.AvoidsSpot(&o.Job) {
		t.Error("avoided long after the last was lost")
	}
}

func noClaims() *placement.Claims {
	return &placement.Claims{Gangs: map[*waittable.Machine]resource.Level{}}
}
