package controller

import (
	"fmt"
	"slices"
	"testing"

	"damsonkeel/internal/controller/placement"
	"damsonkeel/internal/controller/waittable"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// TestCrowdOfSmallJobs: hundreds of small jobs for which a full fleet has no
// place cost no more looks than a few do, and whoever is first in line gets a
// place as soon as there is one.
func TestCrowdOfSmallJobs(t *testing.T) {
	b := newBench(t, "node-1")
	const machines, jobs, ticks = 600, 300, 20
	b.zoned("a", machines, false, heldAt(2, 4))
	for _, m := range b.c.table.InOrder() {
		m.Reported.Wait = 10_000
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
	before := b.c.placer.Examined
	for range ticks {
		b.c.table.PlacementDue = true
		b.step(message.Tick{})
	}
	if n := b.c.placer.Examined - before; n < machines || n > 2*ticks*placement.SearchedAtOnce {
		t.Errorf("%d machines looked at in %d steps", n, ticks)
	}
	all := b.c.table.InOrder()
	m := all[slices.IndexFunc(all, func(m *waittable.Machine) bool { return b.c.DispatcherOf(m.ID) == "node-1" })] // here nobody keeps the rest
	m.Reported.FreeCPUs, m.Reported.FreeGB, m.Reported.Wait = 1, 4, 0
	for range ticks {
		b.c.table.PlacementDue = true
		b.step(message.Tick{})
	}
	if len(b.c.jobs.AttemptsOn[m.ID]) == 0 || b.c.jobs.ByID[first].Placed[protocol.TaskID{Job: first}] == nil {
		t.Errorf("%s is not placed on the machine that has room: %v", first, b.c.jobs.AttemptsOn[m.ID])
	}
}
