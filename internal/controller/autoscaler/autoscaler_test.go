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

// smallType is the type of the machines of these tests.
var smallType = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 20}

// newAutoscaler returns the autoscaler of a cluster with one controller, node-0, and
// without machines. It has no placer: scaleIn can't be called.
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
	held := holds.New(module, table, nil, nil)
	held.Reset()
	a, planner := New(module, table, work, held, nil)
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

// TestIdleTimeoutIsABootUntilArrivalsAreKnown: a controller that has just started does not
// know what work is likely to arrive, and keeps idle machines for as long as another
// would boot. So it does where no work arrives at all.
func TestIdleTimeoutIsABootUntilArrivalsAreKnown(t *testing.T) {
	known := time.Duration(forecast.KnownBoots*smallType.BootS+1) * time.Second
	for _, tc := range []struct {
		name     string
		session  time.Duration
		headroom float64
		want     float64
	}{
		{"just started", 0, 100, smallType.BootS},
		{"arrivals known", known, 100, knownIdleTimeout.Seconds()},
		{"no arrivals", known, math.Inf(1), smallType.BootS},
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

// TestUnstartedTasksUseSpareProcessors: the processors that unstarted tasks need can't be
// spared. A controller that came back after a zone had been partitioned once returned the
// zone's machines while 30 jobs waited.
func TestUnstartedTasksUseSpareProcessors(t *testing.T) {
	a := newAutoscaler(t)
	addMachine(a, "vm-1")
	if headroom := a.headroomProcessors(); !math.IsInf(headroom, 1) {
		t.Errorf("%v processors of headroom without any work, want no bound", headroom)
	}
	a.Live["job-1"] = &clusterstate.LiveJob{Job: protocol.Job{ID: "job-1", Priority: "best_effort", CPUs: 2}}
	a.table.Peers["node-0"].Demand = []message.Demand{{Job: "job-1", Unstarted: 9}}
	if headroom := a.headroomProcessors(); headroom != 4-18 {
		t.Errorf("%v processors of headroom of 4 while tasks need 18", headroom)
	}
}

// TestRefusalLeavesMachineReservable: a machine whose dispatcher refused a placement gets
// no other until the dispatcher publishes why, but its holds stay. They were dropped once,
// and the machine was filled by other work within a second.
func TestRefusalLeavesMachineReservable(t *testing.T) {
	a := newAutoscaler(t)
	m := addMachine(a, "vm-1")
	m.PlacementRefused = true
	reservable := len(a.planner.reservableMachines())
	if a.table.Usable(m) || !m.Open() || reservable != 1 {
		t.Errorf("usable %v, open %v, %d reservable machines", a.table.Usable(m), m.Open(), reservable)
	}
}
