package simulator

import (
	"testing"
	"time"

	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
)

// fleetSize is how many machines the hard cases of a fleet have; WORLD_MACHINES
// asks for another number, a multiple of that.
var fleetSize = requestedMachines(defaultFleetSize)

const defaultFleetSize = 1300

// fleetJob is an array of some hundred tasks of half a machine or a whole one, now and
// then a gang.
func fleetJob(w *world) protocol.Job {
	j := protocol.Job{
		Class: "array", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: uint32(200+w.rng.IntN(200)) * uint32(fleetSize/defaultFleetSize), CPUs: 4, EstimateS: 5,
		Spot: true,
	}
	if w.rng.IntN(4) == 0 {
		j.Class, j.Kind, j.Tasks, j.CPUs, j.Priority = "gang", protocol.KindGang, uint32(2+w.rng.IntN(11)), 4, "high"
	}
	return j
}

// newFleet is a world whose machines are all up and registered, and so busy that
// none is returned as idle.
func newFleet(t *testing.T, seed uint64) *world {
	t.Helper()
	w := newWorld(t.Fatalf, seed, fake.Settings(), fleetSize, fleetSize)
	w.run(3 * time.Second)
	w.submitEvery(500*time.Millisecond, 8*time.Second)
	if n := w.registeredMachines(); n < fleetSize*9/10 {
		t.Fatalf("%d of %d machines kept after %v", n, fleetSize, w.now)
	}
	return w
}

// submitEvery submits a job at each of so many times until a while has passed.
func (w *world) submitEvery(every, d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.submit(fleetJob(w))
		w.run(w.now + every)
	}
}

// registeredMachines returns how many machines have a live heartbeat at the controllers that hold
// their shards.
func (w *world) registeredMachines() int {
	n := 0
	for _, node := range w.nodes {
		if node.core != nil {
			n += node.core.Status().Inventoried
		}
	}
	return n
}

// expectAllFinished reports an error if jobs have not ended after a while.
func (w *world) expectAllFinished(t *testing.T, d time.Duration) {
	t.Helper()
	for end := w.now + d; w.unfinished() > 0 && w.now < end; {
		w.run(w.now + 2*time.Second)
	}
	w.run(w.now + 5*time.Second)
	if n := w.unfinished(); n > 0 {
		t.Errorf("%d of %d jobs have not ended", n, len(w.jobOrder))
	}
}

// TestAllWorkersRegisterAfterFullOutage: all controllers are down for longer than the
// workers' leases. Then 1,300 workers come with new sessions at once, while jobs
// come three times as often: they are registered within seconds, by a few
// changes, and everything ends.
func TestAllWorkersRegisterAfterFullOutage(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 1)
	for _, n := range w.nodes {
		n.crashFor(25 * time.Second) // leases last 15 s
	}
	w.run(w.now + 25*time.Second)
	if w.expiredLeases < fleetSize*9/10 {
		t.Fatalf("%d leases have run out", w.expiredLeases)
	}
	writes := w.blockWrites
	w.submitEvery(170*time.Millisecond, 10*time.Second)
	if n := w.registeredMachines(); n < fleetSize*9/10 {
		t.Errorf("%d machines kept 10 s later", n)
	}
	// Each worker comes when it is its time, over several seconds, and not all
	// of a block at once; still far fewer changes than machines.
	if n := w.blockWrites - writes; n > fleetSize/3 {
		t.Errorf("%d changes for %d machines", n, fleetSize)
	}
	w.expectAllFinished(t, 100*time.Second)
}

// TestZonePartitionDuringRollingRestart: a zone with its controllers and half of the machines
// is partitioned from everything for 70 s, far longer than leases and cancellations
// last, and comes back while the controllers are restarted one after the other.
func TestZonePartitionDuringRollingRestart(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 2)
	w.partitionZone("a", true, 70*time.Second, true)
	w.submitEvery(2*time.Second, 20*time.Second)
	w.cancel(w.jobOrder[len(w.jobOrder)-1])
	w.submitEvery(3*time.Second, 40*time.Second)
	w.rollingRestart()
	w.submitEvery(2*time.Second, 30*time.Second)
	w.expectAllFinished(t, 120*time.Second)
}

// TestResumedControllerChangesNothing: a controller is paused for 40 s while its clocks run
// on. Others take over; then it goes on with all it had still to send, its lease
// long expired. What it sends changes nothing: rules hold, and no table has
// anything of it.
func TestResumedControllerChangesNothing(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 3)
	paused := w.nodes[1]
	w.submit(fleetJob(w))
	w.run(w.now + 100*time.Millisecond)
	paused.pausedUntil = w.now + 40*time.Second
	term := w.nodes[0].core.Status().Term
	w.submitEvery(2*time.Second, 39*time.Second)
	if w.nodes[0].core.Status().Term == term {
		t.Error("nobody took over")
	}
	w.submitEvery(2*time.Second, 10*time.Second)
	w.expectAllFinished(t, 100*time.Second)
	for _, n := range w.nodes {
		if waits := n.core.Status().Waits; len(waits) > 0 {
			t.Fatalf("%s: %v have waits with nothing left to run", n.name, waits)
		}
	}
}

// TestFailoverWithSlowStateService: a controller crashes while the state service
// takes 15 times as long, for writes and for what the watch brings.
func TestFailoverWithSlowStateService(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 4)
	w.stateLatency = 450 * time.Millisecond
	w.submitEvery(time.Second, 6*time.Second)
	w.nodes[2].crashFor(30 * time.Second)
	w.submitEvery(time.Second, 28*time.Second)
	if n := w.registeredMachines(); n < fleetSize*8/10 {
		t.Errorf("%d machines kept by the two that are left", n)
	}
	w.stateLatency = 0
	w.expectAllFinished(t, 120*time.Second)
}

// TestOneControllerHoldsAllShards: two of three controllers are down for a minute. The third
// holds all shards, no worker's lease runs out once it has taken them over, and
// work goes on.
func TestOneControllerHoldsAllShards(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 5)
	w.nodes[0].crashFor(60 * time.Second)
	w.nodes[1].crashFor(60 * time.Second)
	w.submitEvery(time.Second, 18*time.Second)
	expiredLeases, starts := w.expiredLeases, w.starts
	w.submitEvery(time.Second, 30*time.Second)
	if n := w.nodes[2].core.Status().Queues; n < fleetSize/2 {
		t.Errorf("%d machines kept", n)
	}
	if w.expiredLeases > expiredLeases {
		t.Errorf("%d leases ran out while one controller kept all machines", w.expiredLeases-expiredLeases)
	}
	if w.starts == starts {
		t.Error("nothing was started")
	}
	w.expectAllFinished(t, 120*time.Second)
}
