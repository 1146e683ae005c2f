package coordination

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"damsonkeel/internal/protocol"
)

// randomJob makes a job that the world's machines can run.
func (w *world) randomJob() protocol.Job {
	j := protocol.Job{
		Class: "array", Team: "free", Kind: protocol.KindArray, Priority: "standard", Tasks: uint32(1 + w.rng.IntN(12)),
		CPUs: float64(1 + w.rng.IntN(2)), EstimateS: 5, Spot: w.rng.IntN(2) == 0,
	}
	switch w.rng.IntN(8) {
	case 0:
		j.Class, j.Kind, j.Tasks, j.CPUs, j.Priority = "gang", protocol.KindGang, uint32(1+w.rng.IntN(3)), 4, "high"
		j.OneZone = w.rng.IntN(2) == 0
	case 1:
		j.Kind, j.Tasks, j.CheckpointS, j.SaveS = protocol.KindService, 2, 0, 0
	case 2:
		j.Zone = "b"
	case 3:
		j.OneZone = true
	case 4:
		j.Spread = true
	case 5:
		j.Types = []protocol.MachineType{"large"}
	}
	if w.rng.IntN(3) == 0 {
		j.Team = "bound"
	}
	if w.rng.IntN(3) == 0 && j.Kind == protocol.KindArray {
		j.CheckpointS, j.SaveS = 2, 2
	}
	return j
}

// trouble makes one random thing fail.
func (w *world) trouble() {
	n := w.nodes[w.rng.IntN(3)]
	d := time.Duration(2+w.rng.IntN(25)) * time.Second
	hold := w.rng.IntN(2) == 0
	machine := w.order[w.rng.IntN(len(w.order))]
	switch w.rng.IntN(12) {
	case 0, 1:
		w.crash(n)
	case 2:
		for _, n := range w.nodes {
			w.crash(n)
		}
	case 3, 4:
		w.cut(string(n.name), "state", d, hold)
	case 5:
		w.outage = w.now + d
	case 6, 7:
		w.cut(string(n.name), "workers", d, hold)
	case 8:
		w.cut(string(n.name), fmt.Sprint("node-", w.rng.IntN(3)), d, hold)
	case 9:
		w.kill(machine)
	case 10:
		notice := 8.0
		sw := w.workers[machine]
		sw.Notice = &notice
		w.after(8*time.Second, func() { w.kill(machine) })
	case 11:
		sw := w.workers[machine]
		sw.Faulty = true
		w.after(d, func() { sw.Faulty = false })
	}
}

// TestRulesHold plays generated days of crashes, cuts, held messages, late
// transactions, outages and lost machines. Every rule is checked at every
// step; when all is well again, every job must come to its end.
func TestRulesHold(t *testing.T) {
	seeds := 60
	if n, err := strconv.Atoi(os.Getenv("WORLD_SEEDS")); err == nil {
		seeds = n // a longer search by hand
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, uint64(seed), 9)
			w.run(3 * time.Second)
			for w.now < 150*time.Second {
				if w.rng.IntN(3) > 0 {
					w.submit(w.randomJob())
				}
				if len(w.jobOrder) > 0 && w.rng.IntN(6) == 0 {
					if id := w.jobOrder[w.rng.IntN(len(w.jobOrder))]; w.final[id] == "" {
						w.cancel(id)
					}
				}
				if w.rng.IntN(2) == 0 {
					w.trouble()
				}
				w.run(w.now + time.Duration(1+w.rng.IntN(6))*time.Second)
			}
			w.outage = 0
			w.run(w.now + 40*time.Second)
			for _, id := range w.jobOrder {
				if w.jobs[id].Kind == protocol.KindService && w.final[id] == "" {
					w.cancel(id)
				}
			}
			w.run(w.now + 160*time.Second)
			for _, id := range w.jobOrder {
				if w.final[id] == "" {
					t.Errorf("job %s never came to its end: %+v", id, w.jobs[id])
				}
			}
			if w.starts == 0 {
				t.Error("nothing ran")
			}
		})
	}
}
