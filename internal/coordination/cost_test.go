package coordination

import (
	"fmt"
	"testing"
	"time"

	"damsonkeel/internal/protocol"
)

// fleetOf is a core that keeps and knows so many machines, with so many tasks
// of ten jobs placed.
func fleetOf(tb testing.TB, machines, tasks int) *bench {
	b := newBench(tb)
	for i := range machines {
		b.machine(protocol.MachineID(fmt.Sprintf("vm-%04d", i)), 1)
	}
	for i := range 10 {
		b.job(protocol.JobID(fmt.Sprint("job-", i)), "free", uint32(tasks/10))
	}
	for range 1 + tasks/maxPerStep {
		b.step(Tick{})
	}
	return b
}

// sizes are fleets and backlogs from the smallest to twice the largest known.
var sizes = []struct{ machines, tasks int }{{100, 300}, {300, 3000}, {900, 3000}, {900, 10000}}

// BenchmarkRelay is a second's regular work: summaries, queues and the plan.
func BenchmarkRelay(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("%d machines, %d tasks", s.machines, s.tasks), func(b *testing.B) {
			w := fleetOf(b, s.machines, s.tasks)
			for b.Loop() {
				w.now += Time(time.Second)
				w.step(Tick{})
			}
		})
	}
}

// BenchmarkReport is a worker's report that says nothing new.
func BenchmarkReport(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("%d machines, %d tasks", s.machines, s.tasks), func(b *testing.B) {
			w := fleetOf(b, s.machines, s.tasks)
			w.report("vm-0001", 1, 1)
			for b.Loop() {
				w.report("vm-0001", 1, 1)
			}
		})
	}
}

// BenchmarkPlace is a new job of 300 tasks, placed and cancelled.
func BenchmarkPlace(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("%d machines, %d tasks", s.machines, s.tasks), func(b *testing.B) {
			w := fleetOf(b, s.machines, s.tasks)
			for b.Loop() {
				w.job("job-new", "free", 300)
				w.c.jobOver("job-new")
				w.step(Tick{})
			}
		})
	}
}

// TestPlacingLooksOnce: a job's tasks are placed by looking at each machine
// once and at one more for each task, however many wait already.
func TestPlacingLooksOnce(t *testing.T) {
	w := fleetOf(t, 300, 3000)
	before := w.c.looked
	w.job("job-new", "free", 300)
	if o := w.c.owner.jobs["job-new"]; len(o.placed) != 300 {
		t.Fatalf("%d of 300 placed", len(o.placed))
	}
	if n := w.c.looked - before; n > 600 {
		t.Errorf("%d machines looked at for 300 tasks on 300 machines", n)
	}
}
