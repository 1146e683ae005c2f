package coordination

import (
	"fmt"
	"testing"
	"time"

	"damsonkeel/internal/bookkeeping"
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

// TestHugeJobIsPaced: of a job far too large for the fleet, only what runs soon
// is placed; the rest costs a bit each, others go on, and cancelling it is done
// at once.
func TestHugeJobIsPaced(t *testing.T) {
	w := fleetOf(t, 20, 100)
	w.job("job-huge", "free", protocol.MaxTasks)
	for range 50 { // workers that stay silent for longer are given nothing
		w.step(Tick{})
	}
	huge := w.c.owner.jobs["job-huge"]
	most := 20 * 4 * (int(queueAtMost.Seconds())/10 + 2) // tasks of 10 s on 4 processors each
	if n := len(huge.placed); n == 0 || n > most {
		t.Errorf("%d tasks placed, want up to %d", n, most)
	}
	w.c.live["job-huge"].due += Time(time.Hour) // it can't be done by its time
	w.c.owner.sorted = nil
	w.put(bookkeeping.LiveKey("job-urgent"), protocol.Job{
		ID: "job-urgent", Team: "free", Kind: protocol.KindArray, Priority: "high", Tasks: 5, CPUs: 1, MemoryGB: 1, EstimateS: 10, Image: "i",
	})
	w.step(Tick{})
	if n := len(w.c.owner.jobs["job-urgent"].placed); n != 5 {
		t.Errorf("%d of 5 more urgent tasks placed", n)
	}
	w.c.jobOver("job-huge")
	w.step(Tick{})
	queued := 0
	for _, q := range w.c.queues {
		for _, e := range q.waiting {
			if e.task.Job == "job-huge" {
				queued++
			}
		}
	}
	if queued > 0 {
		t.Errorf("%d tasks still queued after the job was cancelled", queued)
	}
}
