package controller

import (
	"fmt"
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// TestCheapMachinesFillFirst: of machines with free resources the cheap ones are filled
// first, the fuller ones before the others, so that expensive ones become idle.
func TestCheapMachinesFillFirst(t *testing.T) {
	b := newBench(t)
	b.step(message.CatalogueRead{Types: []protocol.TypeInfo{{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, Price: 0.6, SpotPrice: 0.2, AllowZones: []protocol.Zone{"a"}}}})
	for i, spot := range []bool{false, true, false, true} {
		id := protocol.MachineID(fmt.Sprint("vm-", i))
		b.ready(id)
		m := b.c.waitTable.Machines[id]
		m.Record.Spot, m.State.Queued = spot, 0
	}
	j := protocol.Job{ID: "job-1", Class: "sheet", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 6, CPUs: 1, MemoryGB: 1, EstimateS: 10, Spot: true}
	b.put(record.LiveKey(j.ID), j)
	b.step(message.Tick{})
	on := map[bool]int{}
	for _, p := range b.c.jobs.ByID["job-1"].Placed {
		on[b.c.waitTable.Machines[p.Machine].Record.Spot]++
	}
	if on[true] != 6 {
		t.Errorf("%d of 6 tasks on the cheap machines", on[true])
	}
}

// TestTaskQueuedWhereLeastWorkGoesBeforeIt: a task is queued where the least work of its
// own and higher levels goes before it, however much of lower levels is queued there.
func TestTaskQueuedWhereLeastWorkGoesBeforeIt(t *testing.T) {
	b := newBench(t)
	b.ready("vm-1")
	b.ready("vm-2")
	queued := func(id protocol.MachineID, l resource.Level, work float64) {
		m := b.c.waitTable.Machines[id]
		m.State.Queued, m.State.Wait, m.State.Queue = 1, 100+work, make([]float64, l+1)
		m.State.Queue[l] = work
	}
	queued("vm-1", resource.LevelOf("standard", false), 900)
	queued("vm-2", resource.LevelOf("high", false), 400)
	for _, tc := range []struct {
		priority protocol.Priority
		want     protocol.MachineID
	}{{"high", "vm-1"}, {"standard", "vm-2"}} {
		id := protocol.JobID("job-" + tc.priority)
		b.put(record.LiveKey(id), protocol.Job{ID: id, Team: "free", Kind: protocol.KindJobArray, Priority: tc.priority, Tasks: 1, CPUs: 1, MemoryGB: 1, EstimateS: 10})
		for _, p := range b.c.jobs.ByID[id].Placed {
			if p.Machine != tc.want {
				t.Errorf("a task of priority %s is queued on %s, want %s", tc.priority, p.Machine, tc.want)
			}
		}
	}
}
