package controller

import (
	"fmt"
	"math"
	"testing"

	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/placement"
	"damsonkeel/internal/controller/waittable"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"pgregory.net/rapid"
)

// plainSmallest is the decision written plainly: it visits every machine for
// every task. It returns all that tie for the smallest wait.
func plainSmallest(c *Core, o *jobs.Job, zones map[protocol.Zone]int, cl *placement.Claims) map[*waittable.Machine]bool {
	const withRoom = 1e9
	n := resource.Need(&o.Job)
	best := math.Inf(1)
	waits := map[*waittable.Machine]float64{}
	for _, m := range c.table.Machines {
		if !c.placer.Feasible(o, zones)(m) {
			continue
		}
		w, room := m.WaitFor(&o.Job, o.Level)
		if room {
			if !cl.LeavesClaimed(o, m, n) {
				continue
			}
			w -= withRoom
			if !cl.IsClaimed(o, m) {
				w -= withRoom
			}
		} else if w > placement.QueueAtMost.Seconds() && !m.NonPreemptibleFree(o.Level).Covers(n) {
			continue
		}
		waits[m] = w
		best = math.Min(best, w)
	}
	ties := map[*waittable.Machine]bool{}
	for m, w := range waits {
		if w <= best+2e-6 {
			ties[m] = true
		}
	}
	return ties
}

// drawMachines registers machines of generated sizes, zones and loads.
func drawMachines(t *rapid.T, c *Core, n int) {
	for i := range n {
		id := protocol.MachineID(fmt.Sprintf("vm-%03d", i))
		info := protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, FetchGBPS: 0.5}
		if rapid.Bool().Draw(t, "large") {
			info = protocol.TypeInfo{Name: "large", CPUs: 16, MemoryGB: 64, FetchGBPS: 1}
		}
		m := &waittable.Machine{
			Machine: &clusterstate.Machine{
				ID: id, Epoch: 1, Info: info,
				Record: record.Machine{Zone: rapid.SampledFrom([]protocol.Zone{"a", "b"}).Draw(t, "zone"), Spot: rapid.Bool().Draw(t, "spot")},
			},
		}
		busy := float64(rapid.IntRange(0, int(info.CPUs)).Draw(t, "busy"))
		m.Reported = message.MachineState{
			Machine: id, Epoch: 1, FreeCPUs: info.CPUs - busy, FreeGB: info.MemoryGB - busy, Wait: 10 * busy,
			Suspect: rapid.IntRange(0, 9).Draw(t, "suspect") == 0,
		}
		if m.Reported.FreeCPUs == 0 && rapid.Bool().Draw(t, "queue") {
			m.Reported.Queued, m.Reported.Wait = 3, m.Reported.Wait+float64(rapid.IntRange(0, 50).Draw(t, "queued"))
		}
		c.table.Add(m)
	}
}

// TestPlacementMatchesExhaustiveSearch: placing a job from an ordered list of machines decides, task
// by task, as looking at all machines for each task would, and looks at each
// machine once and at one more for each task.
func TestPlacementMatchesExhaustiveSearch(t *testing.T) {
	tt := t
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(tt, "node-1")
		c := b.c
		machines := rapid.IntRange(1, 30).Draw(t, "machines")
		drawMachines(t, c, machines)
		j := protocol.Job{
			ID: "job-1", Class: "array", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: uint32(rapid.IntRange(1, 60).Draw(t, "tasks")),
			CPUs: float64(rapid.IntRange(1, 4).Draw(t, "cpus")), MemoryGB: 1, ImageGB: 2, EstimateS: 7, Spot: rapid.Bool().Draw(t, "mayspot"),
			OneZone: rapid.Bool().Draw(t, "onezone"), Spread: rapid.Bool().Draw(t, "spread"),
		}
		o := c.jobs.Adopt(&clusterstate.LiveJob{Job: j})
		reserved := &clusterstate.LiveJob{Job: protocol.Job{Class: "gang", Priority: "high", CPUs: 4, MemoryGB: 8, Spot: true}}
		cl := &placement.Claims{Classes: []placement.ClassReserve{{Job: reserved, Need: resource.Need(&reserved.Job), Spare: rapid.IntRange(-2, 5).Draw(t, "spare")}}}
		zones := map[protocol.Zone]int{}
		from := c.placer.CandidatesFor(o, zones, cl)
		placed := 0
		for i := range o.Tasks {
			want := plainSmallest(c, o, zones, cl)
			m := from.Smallest(zones)
			if m == nil && len(want) > 0 || m != nil && !want[m] {
				t.Fatalf("task %d goes to %+v, not to one of %d", i, m, len(want))
			}
			if m == nil {
				break
			}
			c.placer.PlaceFrom(from, i, m, c.jobs.NextAttempt(), zones)
			placed++
		}
		if c.placer.Examined > machines+placed {
			t.Errorf("%d machines looked at for %d tasks on %d machines", c.placer.Examined, placed, machines)
		}
	})
}

// TestCheapMachinesFillFirst: of machines with free resources the cheap ones are filled
// first, the fuller ones before the others, so that expensive ones become idle.
func TestCheapMachinesFillFirst(t *testing.T) {
	b := newBench(t)
	b.step(message.CatalogueRead{Types: []protocol.TypeInfo{{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, Price: 0.6, SpotPrice: 0.2, AllowZones: []protocol.Zone{"a"}}}})
	for i, spot := range []bool{false, true, false, true} {
		id := protocol.MachineID(fmt.Sprint("vm-", i))
		b.ready(id)
		m := b.c.table.Machines[id]
		m.Record.Spot, m.Reported.Queued = spot, 0
	}
	j := protocol.Job{ID: "job-1", Class: "sheet", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 6, CPUs: 1, MemoryGB: 1, EstimateS: 10, Spot: true}
	b.put(record.LiveKey(j.ID), j)
	b.step(message.Tick{})
	on := map[bool]int{}
	for _, p := range b.c.jobs.ByID["job-1"].Placed {
		on[b.c.table.Machines[p.Machine].Record.Spot]++
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
		m := b.c.table.Machines[id]
		m.Reported.Queued, m.Reported.Wait, m.Reported.Queue = 1, 100+work, make([]float64, l+1)
		m.Reported.Queue[l] = work
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
