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

// smallType is the machine type that these tests use.
var smallType = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8}

// newWorkload returns the workload of a controller that has two idle machines, vm-1 and vm-2.
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

// TestEndingTasksReduceReserve checks that resources which become free while a machine boots
// reduce the reserve, but that resources are still reserved for tasks that arrive at the same
// time. The reserve of a gang is not reduced, since it can't use resources that become free a
// few at a time.
func TestEndingTasksReduceReserve(t *testing.T) {
	w := newWorkload(t)
	class := &Class{Job: protocol.Job{Class: "cert", Kind: protocol.KindJobArray, CPUs: 1, MemoryGB: 1}, ObjectiveShare: 0.8, HasStartObjective: true}
	for i := range 10 {
		age := time.Duration(9-i) * 4 * time.Second
		class.Arrivals = append(class.Arrivals, forecast.Arrival{At: w.Now - clock.Time(age), Tasks: float64(10 + i)})
	}
	setEnding := func(id protocol.MachineID, cpus, gb float64) {
		w.table.Machines[id].State.Ending = message.LevelUse{CPUs: cpus, GB: gb}
	}
	noneEnding := w.TasksToReserve(class)
	setEnding("vm-1", 2, 8)
	setEnding("vm-2", 2, 8)
	someEnding := w.TasksToReserve(class)
	setEnding("vm-2", 20, 80)
	manyEnding := w.TasksToReserve(class)
	if someEnding >= noneEnding || manyEnding > someEnding || manyEnding < 15 {
		t.Errorf("reserve of %d tasks while none end, %d while some end, %d while many end", noneEnding, someEnding, manyEnding)
	}
	class.Job.Kind = protocol.KindGang
	if n := w.TasksToReserve(class); n != noneEnding {
		t.Errorf("reserve of %d tasks of a gang, want %d", n, noneEnding)
	}
}
