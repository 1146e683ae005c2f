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

// TestFailedSearchesBoundExaminedMachines: hundreds of small jobs for which a full fleet has
// no place cause no more machines to be examined than a few do, and the first in order gets
// a place as soon as there is one.
func TestFailedSearchesBoundExaminedMachines(t *testing.T) {
	b := newBench(t, "node-1")
	const machines, jobs, ticks = 600, 300, 20
	b.zoned("a", machines, false, fullyUsedAt(2))
	for _, m := range b.c.waitTable.InOrder() {
		m.State.Wait = 10_000
	}
	var first protocol.JobID
	for i := range 2 * jobs {
		id := protocol.JobID(fmt.Sprintf("job-%06d", i))
		b.job(id, "free", 1)
		if first == "" && b.c.jobs.ByID[id] != nil {
			first = id
		}
	}
	if n := len(b.c.jobs.ByID); n < jobs*3/4 {
		t.Fatalf("%d jobs owned", n)
	}
	before := b.c.placer.ExaminedMachines
	for range ticks {
		b.c.waitTable.PlacementDue = true
		b.step(message.Tick{})
	}
	if n := b.c.placer.ExaminedMachines - before; n < machines || n > 2*ticks*placement.MaxExaminedForArrays {
		t.Errorf("%d machines examined in %d steps", n, ticks)
	}
	all := b.c.waitTable.InOrder()
	m := all[slices.IndexFunc(all, func(m *waittable.Machine) bool { return b.c.DispatcherOf(m.ID) == "node-1" })] // the others have dispatchers that do not run here
	m.State.FreeCPUs, m.State.FreeGB, m.State.Wait = 1, 4, 0
	for range ticks {
		b.c.waitTable.PlacementDue = true
		b.step(message.Tick{})
	}
	if len(b.c.jobs.AttemptsByMachine[m.ID]) == 0 || b.c.jobs.ByID[first].Placed[protocol.TaskID{Job: first}] == nil {
		t.Errorf("%s is not placed on the machine with free resources: %v", first, b.c.jobs.AttemptsByMachine[m.ID])
	}
}
