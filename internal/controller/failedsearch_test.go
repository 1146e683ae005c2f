package controller

import (
	"fmt"
	"slices"
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/placement"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// TestFailedSearchesBoundExaminedMachines: the placement of hundreds of small jobs on a full
// fleet examines no more machines than that of a few such jobs, and the first job in order is
// placed as soon as a machine has free resources.
func TestFailedSearchesBoundExaminedMachines(t *testing.T) {
	h := newHarness(t, "node-1")
	const machines, jobs, ticks = 600, 300, 20
	h.addMachinesInZone("a", machines, false, fullyUsedAt(2))
	for _, machine := range h.core.waitTable.InOrder() {
		machine.State.Wait = 10_000
	}
	var first protocol.JobID
	for i := range 2 * jobs {
		id := protocol.JobID(fmt.Sprintf("job-%06d", i))
		h.acceptJob(id, "free", 1)
		if first == "" && h.core.jobs.ByID[id] != nil {
			first = id
		}
	}
	if n := len(h.core.jobs.ByID); n < jobs*3/4 {
		t.Fatalf("%d jobs owned", n)
	}
	before := h.core.placer.ExaminedMachines
	for range ticks {
		h.core.waitTable.PlacementDue = true
		h.step(message.Tick{})
	}
	if n := h.core.placer.ExaminedMachines - before; n < machines || n > 2*ticks*placement.MaxExaminedForArrays {
		t.Errorf("%d machines examined in %d steps", n, ticks)
	}
	machinesInOrder := h.core.waitTable.InOrder()
	machine := machinesInOrder[slices.IndexFunc(machinesInOrder, func(m *waittable.Machine) bool { return h.core.DispatcherOf(m.ID) == "node-1" })] // the dispatchers of the other machines do not run in this test
	machine.State.FreeCPUs, machine.State.FreeGB, machine.State.Wait = 1, 4, 0
	for range ticks {
		h.core.waitTable.PlacementDue = true
		h.step(message.Tick{})
	}
	if len(h.core.jobs.AttemptsByMachine[machine.ID]) == 0 || h.core.jobs.ByID[first].Placed[protocol.TaskID{Job: first}] == nil {
		t.Errorf("%s is not placed on the machine with free resources: %v", first, h.core.jobs.AttemptsByMachine[machine.ID])
	}
}
