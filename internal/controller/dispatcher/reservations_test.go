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

// TestReservedResourcesStayFree checks that the dispatcher does not start an attempt that
// would run into reserved resources, however it came into the queue. Short attempts are
// started, and an attempt of the reserved job overtakes the waiting ones.
func TestReservedResourcesStayFree(t *testing.T) {
	f := newFixture(t)
	f.dispatcher.WallMS = 1_770_000_000_000
	f.registerAndSendHeartbeat() // the machine has 4 CPUs
	f.acceptReservation("one", 20*time.Minute)
	now := f.dispatcher.WallTime()
	hold := reservation.Hold{For: "one", Machine: "vm-1", Tasks: 2, Need: resource.Amount{CPUs: 4, GB: 2}, Level: 1, Clear: reservation.After(now, 18*time.Minute), From: reservation.After(now, 20*time.Minute), Until: reservation.After(now, 40*time.Minute)}
	f.setHold(hold)
	q := f.queue()
	enqueue := func(id protocol.JobID, class string, estimate float64) *entry {
		f.dispatcher.Live[id] = &clusterstate.LiveJob{Job: protocol.Job{ID: id, Class: class, Team: "free", Kind: protocol.KindJobArray, Priority: "standard", CPUs: 2, MemoryGB: 1, Tasks: 1, EstimateS: estimate, SubmittedMS: int64(f.dispatcher.WallTime())}}
		e := &entry{task: protocol.TaskID{Job: id}, attempt: 1, estimate: estimate, need: resource.Amount{CPUs: 2, GB: 1}, level: 1, placedBy: "node-0"}
		q.addEntry(e)
		q.enqueue(e)
		return e
	}
	enqueue("job-long", "array", 1200)
	short := enqueue("job-short", "array", 100)
	if started := q.takeStartable(); len(started) != 1 || started[0] != short {
		t.Fatalf("%d attempts started, want only the short one", len(started))
	}
	if q.entries[protocol.TaskID{Job: "job-long"}] != nil {
		t.Error("an attempt that would run into the reservation was not released to its owner")
	}
	f.dispatcher.Now += clock.Time(19 * time.Minute)
	enqueue("job-late", "array", 10)
	reserved := enqueue("job-mine", "one", 600)
	if started := q.takeStartable(); len(started) != 1 || started[0] != reserved {
		t.Errorf("%d attempts started in reserved resources, want only that of the reserved job", len(started))
	}
}

// TestPreemptionLeavesTimeToCheckpoint checks that an attempt that may be stopped for a
// reservation keeps its resources until the last moment that lets it save a checkpoint, and
// that an attempt that may not be stopped continues to run.
func TestPreemptionLeavesTimeToCheckpoint(t *testing.T) {
	f := newFixture(t)
	f.dispatcher.WallMS = 1_770_000_000_000
	f.registerAndSendHeartbeat()
	f.acceptReservation("one", 10*time.Minute)
	now := f.dispatcher.WallTime()
	f.setHold(reservation.Hold{For: "one", Machine: "vm-1", Tasks: 2, Need: resource.Amount{CPUs: 4, GB: 2}, Level: 1, Clear: reservation.After(now, 8*time.Minute), From: reservation.After(now, 10*time.Minute), Until: reservation.After(now, 40*time.Minute)})
	q := f.queue()
	addRunning := func(id protocol.JobID, p protocol.Priority) *entry {
		f.dispatcher.Live[id] = &clusterstate.LiveJob{Job: protocol.Job{ID: id, Priority: p, Team: "free", CPUs: 2, Tasks: 1, CheckpointS: 10, CheckpointDurationS: 10}}
		e := &entry{task: protocol.TaskID{Job: id}, attempt: 1, estimate: 3600, need: resource.Amount{CPUs: 2}, level: resource.LevelOf(p, false), sent: true, present: true, state: protocol.TaskRunning}
		q.addEntry(e)
		return e
	}
	low, same := addRunning("job-low", "best_effort"), addRunning("job-same", "standard")
	f.dispatcher.Now += clock.Time(9 * time.Minute)
	if q.preemptForReservations(); low.kill {
		t.Error("stopped a minute before the reservation, which is too early")
	}
	f.dispatcher.Now += clock.Time(25 * time.Second) // 35 s before the reservation: saving takes 21 s
	if q.preemptForReservations(); !low.kill || low.graceSeconds < 20 || same.kill {
		t.Errorf("less urgent attempt stopped %v with a grace of %v s, attempt of the same priority stopped %v", low.kill, low.graceSeconds, same.kill)
	}
}
