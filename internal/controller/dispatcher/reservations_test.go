package dispatcher

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// TestReservedResourcesStayFree: what would overrun does not start in reserved
// resources, by the decision of the dispatcher, however it came into its queue; short work
// does, and the reserved job overtakes what waits.
func TestReservedResourcesStayFree(t *testing.T) {
	b := newBench(t)
	b.dispatcher.WallMS = 1_770_000_000_000
	b.ready() // with 4 processors
	b.reserve("one", 20*time.Minute)
	now := b.dispatcher.WallTime()
	hold := reservation.Hold{For: "one", Machine: "vm-1", Tasks: 2, Need: resource.Amount{CPUs: 4, GB: 2}, Level: 1, Clear: reservation.After(now, 18*time.Minute), From: reservation.After(now, 20*time.Minute), Until: reservation.After(now, 40*time.Minute)}
	b.hold(hold)
	q := b.queue()
	wait := func(id protocol.JobID, class string, estimate float64) *entry {
		b.dispatcher.Live[id] = &clusterstate.LiveJob{Job: protocol.Job{ID: id, Class: class, Team: "free", Kind: protocol.KindJobArray, Priority: "standard", CPUs: 2, MemoryGB: 1, Tasks: 1, EstimateS: estimate, SubmittedMS: int64(b.dispatcher.WallTime())}}
		e := &entry{task: protocol.TaskID{Job: id}, attempt: 1, estimate: estimate, need: resource.Amount{CPUs: 2, GB: 1}, level: 1, placedBy: "node-0"}
		q.addEntry(e)
		q.enqueue(e)
		return e
	}
	wait("job-long", "array", 1200)
	short := wait("job-short", "array", 100)
	if out := q.takeStartable(); len(out) != 1 || out[0] != short {
		t.Fatalf("%d started", len(out))
	}
	if q.entries[protocol.TaskID{Job: "job-long"}] != nil {
		t.Error("what would overrun was not given back to its owner")
	}
	b.dispatcher.Now += clock.Time(19 * time.Minute)
	wait("job-late", "array", 10)
	mine := wait("job-mine", "one", 600)
	if out := q.takeStartable(); len(out) != 1 || out[0] != mine {
		t.Errorf("%d started in resources that have to be free, want the reserved job's", len(out))
	}
}

// TestPreemptionLeavesTimeToCheckpoint: what may be stopped for a reservation uses its
// resources until the last moment that lets it save a checkpoint; what may not be stopped
// goes on.
func TestPreemptionLeavesTimeToCheckpoint(t *testing.T) {
	b := newBench(t)
	b.dispatcher.WallMS = 1_770_000_000_000
	b.ready()
	b.reserve("one", 10*time.Minute)
	now := b.dispatcher.WallTime()
	b.hold(reservation.Hold{For: "one", Machine: "vm-1", Tasks: 2, Need: resource.Amount{CPUs: 4, GB: 2}, Level: 1, Clear: reservation.After(now, 8*time.Minute), From: reservation.After(now, 10*time.Minute), Until: reservation.After(now, 40*time.Minute)})
	q := b.queue()
	run := func(id protocol.JobID, p protocol.Priority) *entry {
		b.dispatcher.Live[id] = &clusterstate.LiveJob{Job: protocol.Job{ID: id, Priority: p, Team: "free", CPUs: 2, Tasks: 1, CheckpointS: 10, CheckpointDurationS: 10}}
		e := &entry{task: protocol.TaskID{Job: id}, attempt: 1, estimate: 3600, need: resource.Amount{CPUs: 2}, level: resource.LevelOf(p, false), sent: true, present: true, state: protocol.TaskRunning}
		q.addEntry(e)
		return e
	}
	low, same := run("job-low", "best_effort"), run("job-same", "standard")
	b.dispatcher.Now += clock.Time(9 * time.Minute)
	if q.clearReserved(); low.kill {
		t.Error("stopped a minute before")
	}
	b.dispatcher.Now += clock.Time(25 * time.Second) // 35 s before: it takes 21 s to save
	if q.clearReserved(); !low.kill || low.graceSeconds < 20 || same.kill {
		t.Errorf("less urgent stopped %v with %v s, same priority stopped %v", low.kill, low.graceSeconds, same.kill)
	}
}
