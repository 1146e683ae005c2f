package controller

import (
	"fmt"
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// TestCheapMachinesFillFirst: tasks are placed on the cheapest machines with free resources,
// and on the fullest among those, so that expensive machines become idle.
func TestCheapMachinesFillFirst(t *testing.T) {
	h := newHarness(t)
	h.step(message.CatalogueRead{Types: []protocol.TypeInfo{{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, Price: 0.6, SpotPrice: 0.2, AllowZones: []protocol.Zone{"a"}}}})
	for i, spot := range []bool{false, true, false, true} {
		id := protocol.MachineID(fmt.Sprint("vm-", i))
		h.bringIntoService(id)
		machine := h.core.waitTable.Machines[id]
		machine.Record.Spot, machine.State.Queued = spot, 0
	}
	job := protocol.Job{ID: "job-1", Class: "sheet", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 6, CPUs: 1, MemoryGB: 1, EstimateS: 10, Spot: true}
	h.putRecord(record.LiveKey(job.ID), job)
	h.step(message.Tick{})
	placedBySpot := map[bool]int{}
	for _, attempt := range h.core.jobs.ByID["job-1"].Placed {
		placedBySpot[h.core.waitTable.Machines[attempt.Machine].Record.Spot]++
	}
	if placedBySpot[true] != 6 {
		t.Errorf("%d of 6 tasks placed on the cheap machines", placedBySpot[true])
	}
}

// TestTaskIsQueuedBehindLeastWork: a task is queued on the machine with the least
// queued work of the same and higher levels, regardless of the work of lower levels there.
func TestTaskIsQueuedBehindLeastWork(t *testing.T) {
	h := newHarness(t)
	h.bringIntoService("vm-1")
	h.bringIntoService("vm-2")
	setQueuedWork := func(id protocol.MachineID, level resource.Level, work float64) {
		machine := h.core.waitTable.Machines[id]
		machine.State.Queued, machine.State.Wait, machine.State.Queue = 1, 100+work, make([]float64, level+1)
		machine.State.Queue[level] = work
	}
	setQueuedWork("vm-1", resource.LevelOf("standard", false), 900)
	setQueuedWork("vm-2", resource.LevelOf("high", false), 400)
	for _, tc := range []struct {
		priority protocol.Priority
		want     protocol.MachineID
	}{{"high", "vm-1"}, {"standard", "vm-2"}} {
		id := protocol.JobID("job-" + tc.priority)
		h.putRecord(record.LiveKey(id), protocol.Job{ID: id, Team: "free", Kind: protocol.KindJobArray, Priority: tc.priority, Tasks: 1, CPUs: 1, MemoryGB: 1, EstimateS: 10})
		for _, attempt := range h.core.jobs.ByID[id].Placed {
			if attempt.Machine != tc.want {
				t.Errorf("a task of priority %s is queued on %s, want %s", tc.priority, attempt.Machine, tc.want)
			}
		}
	}
}
