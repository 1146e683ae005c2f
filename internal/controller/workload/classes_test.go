package workload

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// smallType is the type of the machines of these tests.
var smallType = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8}

// newWorkload returns the workload of a controller with two idle machines, vm-1 and vm-2.
func newWorkload(t *testing.T) *Workload {
	t.Helper()
	module := clusterstate.NewModule(fake.Settings(), config.DefaultOperator(), slog.New(slog.DiscardHandler))
	module.Now = clock.Time(time.Minute)
	module.Types[smallType.Name] = smallType
	table := waittable.New(module, rand.New(rand.NewPCG(1, 1)))
	table.Reset()
	for _, id := range []protocol.MachineID{"vm-1", "vm-2"} {
		table.Add(&waittable.Machine{Machine: &clusterstate.Machine{
			ID: id, Epoch: 1, Info: smallType, Record: record.Machine{Type: smallType.Name, Zone: "a"},
		}})
	}
	w := New(module, table)
	w.Reset()
	return w
}

// TestEndingTasksReduceReserve: resources that become free while a machine boots are not
// reserved in addition; for tasks that arrive at the same time resources are reserved all
// the same. A gang can't use resources that become free piece by piece.
func TestEndingTasksReduceReserve(t *testing.T) {
	w := newWorkload(t)
	class := &Class{Job: protocol.Job{Class: "cert", Kind: protocol.KindJobArray, CPUs: 1, MemoryGB: 1}, ObjectiveShare: 0.8, HasStartObjective: true}
	for i := range 10 {
		age := time.Duration(9-i) * 4 * time.Second
		class.Arrivals = append(class.Arrivals, forecast.Arrival{At: w.Now - clock.Time(age), Tasks: float64(10 + i)})
	}
	ending := func(id protocol.MachineID, cpus, gb float64) {
		w.table.Machines[id].State.Ending = message.LevelUse{CPUs: cpus, GB: gb}
	}
	none := w.Reserve(class)
	ending("vm-1", 2, 8)
	ending("vm-2", 2, 8)
	some := w.Reserve(class)
	ending("vm-2", 20, 80)
	many := w.Reserve(class)
	if some >= none || many > some || many < 15 {
		t.Errorf("reserve of %d tasks while none end, %d while some end, %d while many end", none, some, many)
	}
	class.Job.Kind = protocol.KindGang
	if n := w.Reserve(class); n != none {
		t.Errorf("reserve of %d tasks of a gang, want %d", n, none)
	}
}
