package placement

import (
	"fmt"
	"math"
	"testing"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"pgregory.net/rapid"
)

// searchExhaustively examines every machine for one task and returns all machines that tie
// for the smallest wait.
func searchExhaustively(p *Placer, job *jobs.Job, zones map[protocol.Zone]int, claims *Claims) map[*waittable.Machine]bool {
	// bonus is larger than any wait: it orders machines on which the task fits now first.
	const bonus = 1e9
	need := resource.Need(&job.Job)
	best := math.Inf(1)
	waits := map[*waittable.Machine]float64{}
	for _, m := range p.table.Machines {
		if !p.Feasible(job, zones)(m) {
			continue
		}
		wait, fitsNow := m.WaitFor(&job.Job, job.Level)
		if fitsNow {
			if !claims.LeavesClassReserves(job, m, need) {
				continue
			}
			wait -= bonus
			if !claims.IsUsableByClassReserve(job, m) {
				wait -= bonus
			}
		} else if wait > MaxQueueWait.Seconds() && !m.NonPreemptibleFree(job.Level).Covers(need) {
			continue
		}
		waits[m] = wait
		best = math.Min(best, wait)
	}
	ties := map[*waittable.Machine]bool{}
	for m, wait := range waits {
		if wait <= best+2e-6 {
			ties[m] = true
		}
	}
	return ties
}

// drawMachines registers machines of generated sizes, zones and loads.
func drawMachines(t *rapid.T, table *waittable.Table, n int) {
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
		m.State = message.MachineState{
			Machine: id, Epoch: 1, FreeCPUs: info.CPUs - busy, FreeGB: info.MemoryGB - busy, Wait: 10 * busy,
			Suspect: rapid.IntRange(0, 9).Draw(t, "suspect") == 0,
		}
		if m.State.FreeCPUs == 0 && rapid.Bool().Draw(t, "queue") {
			m.State.Queued, m.State.Wait = 3, m.State.Wait+float64(rapid.IntRange(0, 50).Draw(t, "queued"))
		}
		table.Add(m)
	}
}

// TestPlacementMatchesExhaustiveSearch: placement from the heap of candidates chooses, for
// each task, a machine that an examination of all machines for that task would choose as
// well. It examines each machine once, and one machine more for each task.
func TestPlacementMatchesExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newPlacer(t, "node-1")
		machines := rapid.IntRange(1, 30).Draw(rt, "machines")
		drawMachines(rt, p.table, machines)
		job := p.jobs.AdoptJob(&clusterstate.LiveJob{Job: protocol.Job{
			ID: "job-1", Class: "array", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: uint32(rapid.IntRange(1, 60).Draw(rt, "tasks")),
			CPUs: float64(rapid.IntRange(1, 4).Draw(rt, "cpus")), MemoryGB: 1, ImageGB: 2, EstimateS: 7, Spot: rapid.Bool().Draw(rt, "mayspot"),
			OneZone: rapid.Bool().Draw(rt, "onezone"), Spread: rapid.Bool().Draw(rt, "spread"),
		}})
		reserved := &clusterstate.LiveJob{Job: protocol.Job{Class: "gang", Priority: "high", CPUs: 4, MemoryGB: 8, Spot: true}}
		claims := &Claims{Classes: []ClassReserve{{Job: reserved, Need: resource.Need(&reserved.Job), SpareTasks: rapid.IntRange(-2, 5).Draw(rt, "spare")}}}
		zones := map[protocol.Zone]int{}
		suitable := p.candidatesFor(job, zones, claims)
		placed := 0
		for i := range job.Tasks {
			want := searchExhaustively(p, job, zones, claims)
			m := suitable.best(zones)
			if m == nil && len(want) > 0 || m != nil && !want[m] {
				rt.Fatalf("task %d goes to %+v, not to one of %d", i, m, len(want))
			}
			if m == nil {
				break
			}
			p.placeOnBest(suitable, i, m, p.jobs.NextAttempt(), zones)
			placed++
		}
		if p.ExaminedMachines > machines+placed {
			rt.Errorf("%d machines examined for %d tasks on %d machines", p.ExaminedMachines, placed, machines)
		}
	})
}
