package simulator

import (
	"testing"
	"time"

	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
)

// fleetSize is how many machines the tests of a fleet have. WORLD_MACHINES sets another
// number, which must be a multiple of defaultFleetSize.
var fleetSize = requestedMachines(defaultFleetSize)

const defaultFleetSize = 1300

// fleetJob returns a random job: an array of some hundred tasks that each take half of a
// machine or a whole one, or, for one job in four, a gang.
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

// newFleet returns a world of fleetSize machines that are all running, at least nine tenths of
// them registered, and so busy that none is terminated as idle.
func newFleet(t *testing.T, seed uint64) *world {
	t.Helper()
	w := newWorld(t.Fatalf, seed, fake.Settings(), fleetSize, fleetSize)
	w.run(3 * time.Second)
	w.submitEvery(500*time.Millisecond, 8*time.Second)
	if n := w.registeredMachines(); n < fleetSize*9/10 {
		t.Fatalf("%d of %d machines registered after %v", n, fleetSize, w.now)
	}
	return w
}

// submitEvery runs for the duration d and submits a fleetJob at the beginning of each interval
// of length every.
func (w *world) submitEvery(every, d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.submit(fleetJob(w))
		w.run(w.now + every)
	}
}

// registeredMachines returns how many machines are registered at a running controller that
// holds their queues, and have workers that have listed their attempts.
func (w *world) registeredMachines() int {
	n := 0
	for _, node := range w.nodes {
		if node.core != nil {
			n += node.core.Status().InventoriedMachines
		}
	}
	return n
}

// expectAllFinished runs until all jobs have finished, for at most the duration d, and
// reports an error if some have not.
func (w *world) expectAllFinished(t *testing.T, d time.Duration) {
	t.Helper()
	for end := w.now + d; w.unfinished() > 0 && w.now < end; {
		w.run(w.now + 2*time.Second)
	}
	w.run(w.now + 5*time.Second)
	if n := w.unfinished(); n > 0 {
		t.Errorf("%d of %d jobs have not finished", n, len(w.jobOrder))
	}
}

// TestAllWorkersRegisterAfterFullOutage stops all controllers for longer than the workers'
// leases. Then 1,300 workers register with new sessions at once, while jobs arrive three
// times as often. The workers must be registered within seconds, with few changes of the
// records, and all jobs must finish.
func TestAllWorkersRegisterAfterFullOutage(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 1)
	for _, n := range w.nodes {
		n.crashFor(25 * time.Second) // leases last 15 s
	}
	w.run(w.now + 25*time.Second)
	if w.expiredLeases < fleetSize*9/10 {
		t.Fatalf("%d leases have expired", w.expiredLeases)
	}
	writes := w.blockWrites
	w.submitEvery(170*time.Millisecond, 10*time.Second)
	if n := w.registeredMachines(); n < fleetSize*9/10 {
		t.Errorf("%d machines registered 10 s later", n)
	}
	// The workers send their heartbeats over several seconds, and the workers of a block not
	// all at once; still there are far fewer changes than machines.
	if n := w.blockWrites - writes; n > fleetSize/3 {
		t.Errorf("%d changes for %d machines", n, fleetSize)
	}
	w.expectAllFinished(t, 100*time.Second)
}

// TestZonePartitionDuringRollingRestart partitions a zone, with its controllers and half of
// the machines, from everything else for 70 s, far longer than leases and cancellations last.
// The partition ends while the controllers are restarted one after the other.
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

// TestResumedControllerChangesNothing pauses a controller for 40 s while its clocks run on,
// so that others take over. Then the controller resumes with an expired lease and sends all
// of its pending messages. These must have no effect: the rules hold, and no entry is
// left in any controller's wait table.
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
		t.Error("no controller took over")
	}
	w.submitEvery(2*time.Second, 10*time.Second)
	w.expectAllFinished(t, 100*time.Second)
	for _, n := range w.nodes {
		if waits := n.core.Status().MachinesWithWait; len(waits) > 0 {
			t.Fatalf("%s: the wait table has entries for %v although all jobs have finished", n.name, waits)
		}
	}
}

// TestFailoverWithSlowStateService crashes a controller while the key-value store is 15 times
// slower, for writes and for watched changes.
func TestFailoverWithSlowStateService(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 4)
	w.stateLatency = 450 * time.Millisecond
	w.submitEvery(time.Second, 6*time.Second)
	w.nodes[2].crashFor(30 * time.Second)
	w.submitEvery(time.Second, 28*time.Second)
	if n := w.registeredMachines(); n < fleetSize*8/10 {
		t.Errorf("%d machines registered at the two remaining controllers", n)
	}
	w.stateLatency = 0
	w.expectAllFinished(t, 120*time.Second)
}

// TestOneControllerHoldsAllShards stops two of three controllers for a minute. The third must
// hold all shards, no worker's lease may expire after the takeover, and tasks must continue
// to start.
func TestOneControllerHoldsAllShards(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 5)
	w.nodes[0].crashFor(60 * time.Second)
	w.nodes[1].crashFor(60 * time.Second)
	w.submitEvery(time.Second, 18*time.Second)
	expiredLeases, starts := w.expiredLeases, w.starts
	w.submitEvery(time.Second, 30*time.Second)
	if n := w.nodes[2].core.Status().QueuesHeld; n < fleetSize/2 {
		t.Errorf("%d machines have queues at the remaining controller", n)
	}
	if w.expiredLeases > expiredLeases {
		t.Errorf("%d leases expired while one controller held all shards", w.expiredLeases-expiredLeases)
	}
	if w.starts == starts {
		t.Error("no task was started")
	}
	w.expectAllFinished(t, 120*time.Second)
}
