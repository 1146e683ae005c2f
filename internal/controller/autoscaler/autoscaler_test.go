package autoscaler

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/holds"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/controller/workload"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// smallType is the machine type that these tests use.
var smallType = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 20}

// newAutoscaler returns the autoscaler of a cluster with one controller, node-0, and no
// machines. It has no placer, so scaleIn can't be called.
func newAutoscaler(t *testing.T) *Autoscaler {
	t.Helper()
	settings := fake.Settings()
	settings.Name = "node-0"
	module := clusterstate.NewModule(settings, config.DefaultOperator(), slog.New(slog.DiscardHandler))
	module.View = record.View{Term: 1, Members: map[protocol.NodeName]protocol.LeaseID{"node-0": 100}}
	module.Session = 100
	module.Types[smallType.Name] = smallType
	table := waittable.New(module, rand.New(rand.NewPCG(1, 1)))
	table.Reset()
	table.AdoptPeers(module.View)
	work := workload.New(module, table)
	work.Reset()
	reservations := holds.New(module, table, nil, nil)
	reservations.Reset()
	a, planner := New(module, table, work, reservations, nil)
	a.Reset()
	planner.Reset()
	return a
}

// addMachine registers a machine that its dispatcher reports as idle.
func addMachine(a *Autoscaler, id protocol.MachineID) *waittable.Machine {
	m := &waittable.Machine{Machine: &clusterstate.Machine{ID: id, Epoch: 1, Info: smallType, Record: record.Machine{Type: smallType.Name, Zone: "a"}}}
	a.table.Add(m)
	a.table.ApplyMachineState("node-0", a.table.Peers["node-0"], message.MachineState{
		Machine: id, Epoch: 1, FreeCPUs: smallType.CPUs, FreeGB: smallType.MemoryGB, Heard: true,
	})
	return m
}

// TestIdleTimeoutIsBootTimeUntilArrivalsAreObserved: a controller that has just started
// can't forecast which work arrives, so it keeps an idle machine for as long as a
// replacement takes to boot. The same holds if no work arrives at all.
func TestIdleTimeoutIsBootTimeUntilArrivalsAreObserved(t *testing.T) {
	observed := time.Duration(forecast.MinObservedBoots*smallType.BootS+1) * time.Second
	for _, tc := range []struct {
		name     string
		session  time.Duration
		headroom float64
		want     float64
	}{
		{"just started", 0, 100, smallType.BootS},
		{"arrivals known", observed, 100, shortIdleTimeout.Seconds()},
		{"no arrivals", observed, math.Inf(1), smallType.BootS},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := newAutoscaler(t)
			a.Now += clock.Time(tc.session)
			if got := a.idleTimeout(smallType, tc.headroom); got != tc.want {
				t.Errorf("idle timeout %v s, want %v", got, tc.want)
			}
		})
	}
}

// TestUnstartedTasksReduceHeadroom: processors that unstarted tasks need are not headroom.
// Otherwise a controller that restarts after the partition of a zone can terminate the
// zone's machines while jobs are waiting; this happened with 30 waiting jobs.
func TestUnstartedTasksReduceHeadroom(t *testing.T) {
	a := newAutoscaler(t)
	addMachine(a, "vm-1")
	if headroom := a.headroomProcessors(); !math.IsInf(headroom, 1) {
		t.Errorf("%v processors of headroom without any work, want infinite headroom", headroom)
	}
	a.Live["job-1"] = &clusterstate.LiveJob{Job: protocol.Job{ID: "job-1", Priority: "best_effort", CPUs: 2}}
	a.table.Peers["node-0"].Demand = []message.Demand{{Job: "job-1", Unstarted: 9}}
	if headroom := a.headroomProcessors(); headroom != 4-18 {
		t.Errorf("%v processors of headroom on a machine with 4 while unstarted tasks need 18, want -14", headroom)
	}
}

// TestRefusedPlacementKeepsMachineReservable: a machine whose dispatcher refused a
// placement receives no other placement until the dispatcher publishes a new state, but
// resources can still be held on it. Without this its holds were dropped, and other work
// filled the machine within a second.
func TestRefusedPlacementKeepsMachineReservable(t *testing.T) {
	a := newAutoscaler(t)
	m := addMachine(a, "vm-1")
	m.PlacementRefused = true
	reservable := len(a.planner.reservableMachines())
	if a.table.Usable(m) || !m.Open() || reservable != 1 {
		t.Errorf("usable %v, open %v, %d reservable machines; want false, true, 1", a.table.Usable(m), m.Open(), reservable)
	}
}
