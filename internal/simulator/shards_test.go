package simulator

import (
	"fmt"
	"testing"
	"time"

	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// newShardedWorld returns a world of machines that are all running and busy, at least nine
// tenths of them registered, and whose shards are held by the given number of controllers.
func newShardedWorld(t *testing.T, seed uint64, controllers, machines int) *world {
	t.Helper()
	s := fake.Settings()
	s.Site.Count = controllers
	w := newWorld(t.Fatalf, seed, s, machines, machines)
	w.run(3 * time.Second)
	for range 8 {
		w.submit(busyJob(w, machines))
		w.run(w.now + 500*time.Millisecond)
	}
	if n := w.registeredMachines(); n < machines*9/10 {
		t.Fatalf("%d of %d machines registered after %v", n, machines, w.now)
	}
	return w
}

// busyJob returns an array with about a third as many tasks as there are machines, or, for one
// job in four, a gang. All jobs have the same priority, so that none is preempted.
func busyJob(w *world, machines int) protocol.Job {
	j := protocol.Job{Class: "array", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: uint32(machines/3 + w.rng.IntN(10)), CPUs: 2, EstimateS: 5, Spot: true}
	if w.rng.IntN(4) == 0 {
		j.Class, j.Kind, j.Tasks, j.CPUs, j.Priority = "gang", protocol.KindGang, uint32(2+w.rng.IntN(5)), 4, "standard"
	}
	return j
}

// acceptedTasks returns how many tasks the accepted jobs have.
func (w *world) acceptedTasks() (n int) {
	for _, j := range w.jobs {
		n += int(j.Tasks)
	}
	return n
}

// shardCounts returns how many shards each controller holds by the shard table. Controllers
// without shards are not included.
func (w *world) shardCounts() map[protocol.NodeName]int {
	counts := map[protocol.NodeName]int{}
	for _, n := range w.nodes {
		if k := len(n.heldShards()); k > 0 {
			counts[n.name] = k
		}
	}
	return counts
}

// runWithLoad runs for the duration d and submits a busyJob each second.
func (w *world) runWithLoad(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.submit(busyJob(w, len(w.machineOrder)))
		w.run(w.now + time.Second)
	}
}

// TestShardMovesDoNotDisruptTasks moves half of each controller's shards of a busy fleet, and
// then one shard back and forth, while jobs run. No task may be stopped, started again or
// lost, no lease may expire, and the 99th percentile of the pause of starts must be at most
// 500 ms.
func TestShardMovesDoNotDisruptTasks(t *testing.T) {
	t.Parallel()
	w := newShardedWorld(t, 11, 3, 300)
	epochs := w.shardEpochs()
	for i := range 3 {
		from, to := w.nodes[i], w.nodes[(i+1)%3]
		if ids := from.heldShards(); !w.moveShards(ids[:len(ids)/2], to) {
			t.Fatal("no controller accepts the request")
		}
		w.runWithLoad(4 * time.Second)
	}
	single := w.nodes[0].heldShards()[:1]
	for i := range 60 {
		w.moveShards(single, w.nodes[i%3])
		w.submit(busyJob(w, 100))
		w.run(w.now + 700*time.Millisecond)
	}
	moved := 0
	for id, epoch := range w.shardEpochs() {
		if epoch < epochs[id] {
			t.Errorf("the epoch of shard %d decreased from %d to %d", id, epochs[id], epoch)
		}
		if epoch > epochs[id] {
			moved++
		}
	}
	if moved < 16 {
		t.Errorf("%d shards moved, want at least 16", moved)
	}
	w.expectAllFinished(t, 120*time.Second)
	if w.expiredLeases > 0 || w.starts != w.acceptedTasks() {
		t.Errorf("%d leases expired; %d starts for %d tasks", w.expiredLeases, w.starts, w.acceptedTasks())
	}
	w.expectTerm(t, 1)
	if p := w.movePauseP99(); len(w.movePauses) < moved || p > 500*time.Millisecond {
		t.Errorf("%d moves, which pause starts for %v at the 99th percentile", len(w.movePauses), p)
	}
}

// TestThirdOfShardsMoveWithoutDisruption moves a third of the shards of 1,300 busy machines at
// once. No task may be stopped, started again or lost, no move may be aborted, and neither the
// other shards nor the term may change.
func TestThirdOfShardsMoveWithoutDisruption(t *testing.T) {
	t.Parallel()
	w := newWorld(t.Fatalf, 18, fake.Settings(), 1300, 1300)
	w.run(3 * time.Second)
	for range 12 {
		w.submit(busyJob(w, 2600))
		w.run(w.now + 500*time.Millisecond)
	}
	before, _ := w.shardTable()
	requested := map[int]bool{}
	for i, n := range w.nodes {
		ids := n.heldShards()
		ids = ids[:(len(ids)+2)/3]
		for _, id := range ids {
			requested[id] = true
		}
		w.moveShards(ids, w.nodes[(i+1)%3])
	}
	w.run(w.now + 4*time.Second)
	after, _ := w.shardTable()
	for i, shard := range after.List {
		if moved := shard != before.List[i]; moved != requested[i] {
			t.Errorf("shard %d: moved %v, move requested %v", i, moved, requested[i])
		}
	}
	w.expectAllFinished(t, 200*time.Second)
	if p := w.movePauseP99(); len(requested) < 20 || w.abortedMoves > 0 || p > 500*time.Millisecond || w.expiredLeases > 0 || w.starts != w.acceptedTasks() {
		t.Errorf("%d moves, %d aborted, pause %v at the 99th percentile; %d starts for %d tasks, %d leases expired", len(requested), w.abortedMoves, p, w.starts, w.acceptedTasks(), w.expiredLeases)
	}
	w.expectTerm(t, 1)
}

// shardEpochs returns the epochs of the shards.
func (w *world) shardEpochs() (epochs []protocol.Term) {
	table, _ := w.shardTable()
	for _, shard := range table.List {
		epochs = append(epochs, shard.Epoch)
	}
	return epochs
}

// expectTerm reports an error if the view of a running controller has another term than the
// given one.
func (w *world) expectTerm(t *testing.T, term protocol.Term) {
	t.Helper()
	for _, n := range w.nodes {
		if n.core != nil && n.core.Status().Term != term {
			t.Errorf("%s is in term %d, want %d", n.name, n.core.Status().Term, term)
		}
	}
}

// TestRollingShutdown shuts down all controllers, one after the other. Each must hand over all
// of its shards first, and no task may be stopped, started again or lost.
func TestRollingShutdown(t *testing.T) {
	t.Parallel()
	w := newShardedWorld(t, 12, 3, 300)
	for _, n := range w.nodes {
		n.shutDown()
		w.runWithLoad(6 * time.Second)
		if n.core != nil && n.core.Status().QueuesHeld > 0 {
			t.Fatalf("%s still has the queues of %d machines after its shutdown was requested", n.name, n.core.Status().QueuesHeld)
		}
		w.runWithLoad(12 * time.Second)
	}
	w.run(w.now + 20*time.Second)
	if counts := w.shardCounts(); len(counts) != 3 {
		t.Errorf("shards by controller: %v", counts)
	}
	w.expectAllFinished(t, 120*time.Second)
	if w.expiredLeases > 0 || w.starts != w.acceptedTasks() {
		t.Errorf("%d leases expired; %d starts for %d tasks", w.expiredLeases, w.starts, w.acceptedTasks())
	}
}

// TestOneCrashLeavesOtherShardsAlone crashes one controller. The shards of the other
// controllers must not be affected: their holders, epochs and fencing tokens must not change.
func TestOneCrashLeavesOtherShardsAlone(t *testing.T) {
	t.Parallel()
	w := newShardedWorld(t, 13, 3, 300)
	before, _ := w.shardTable()
	crashed := w.nodes[1]
	session := crashed.session
	crashed.crashFor(40 * time.Second)
	w.runWithLoad(20 * time.Second)
	after, _ := w.shardTable()
	moved := 0
	for i, shard := range before.List {
		switch {
		case shard.Holder == session && after.List[i].Holder == session:
			t.Errorf("shard %d is still held by the crashed controller", i)
		case shard.Holder == session:
			moved++
		case shard.Holder != after.List[i].Holder || shard.Since != after.List[i].Since:
			t.Errorf("shard %d of another controller changed: %+v, was %+v", i, after.List[i], shard)
		}
	}
	if counts := w.shardCounts(); moved == 0 || len(counts) != 2 || counts["node-0"] > 2*counts["node-2"] || counts["node-2"] > 2*counts["node-0"] {
		t.Errorf("%d shards taken over; shards by controller: %v", moved, counts)
	}
	w.runWithLoad(40 * time.Second)
	if counts := w.shardCounts(); len(counts) != 3 {
		t.Errorf("shards by controller after the restart: %v, want three controllers", counts)
	}
	w.expectAllFinished(t, 120*time.Second)
}

// TestCrashAtEachStepOfShardMove crashes the source, the target, both, or all controllers at
// each step of a move, 15 ms apart. All jobs must finish.
func TestCrashAtEachStepOfShardMove(t *testing.T) {
	for name, crashed := range map[string][]int{"source": {0}, "target": {1}, "both": {0, 1}, "all": {0, 1, 2}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for at := 5 * time.Millisecond; at < 320*time.Millisecond; at += 15 * time.Millisecond {
				w := newShardedWorld(t, uint64(at), 3, 40)
				ids := w.nodes[0].heldShards()
				w.moveShards(ids[:min(len(ids), 8)], w.nodes[1])
				w.after(at, func() {
					for _, i := range crashed {
						w.nodes[i].crash()
					}
				})
				w.runWithLoad(4 * time.Second)
				w.expectAllFinished(t, 150*time.Second)
			}
		})
	}
}

// TestShardMoveDuringFaults injects each fault that a move must tolerate at several times after
// the start of the move. All jobs must finish.
func TestShardMoveDuringFaults(t *testing.T) {
	for name, fault := range map[string]func(w *world, source, target *node){
		"the target's transaction is lost":          func(w *world, _, b *node) { w.partition(string(b.name), "state", 5*time.Second, false) },
		"the target's transaction is late":          func(w *world, _, b *node) { w.partition(string(b.name), "state", 5*time.Second, true) },
		"the source sees no changes of the records": func(w *world, a, _ *node) { w.partition(string(a.name), "state", 5*time.Second, true) },
		"the state service has an outage":           func(w *world, _, _ *node) { w.outageUntil = w.now + 12*time.Second },
		"source and target can't reach one another": func(w *world, a, b *node) { w.partition(string(a.name), string(b.name), 6*time.Second, true) },
		"the source is paused for 40 s":             func(w *world, a, _ *node) { a.pausedUntil = w.now + 40*time.Second },
		"the target is paused for 40 s":             func(w *world, _, b *node) { b.pausedUntil = w.now + 40*time.Second },
		"workers' heartbeats to the source are delayed": func(w *world, a, _ *node) {
			w.partition(string(a.name), "workers", 9*time.Second, true)
		},
		"jobs are cancelled": func(w *world, _, _ *node) {
			for _, id := range w.jobOrder {
				if w.finalState[id] == "" {
					w.cancel(id)
				}
			}
		},
		"machines are lost": func(w *world, _, _ *node) {
			for _, id := range w.machineOrder[:5] {
				w.killMachine(id)
			}
		},
		"workers start new sessions": func(w *world, _, _ *node) {
			for _, id := range w.machineOrder[5:12] {
				w.workers[id].Restart(w.now)
			}
		},
		"the shard table is lost": func(w *world, _, _ *node) {
			w.state.Execute(protocol.Transaction{Changes: []protocol.Change{{Delete: record.ShardTableKey}}})
		},
		"a third controller crashes": func(w *world, _, _ *node) { w.nodes[2].crash() },
		"the move is reversed":       func(w *world, a, b *node) { w.moveShards(b.heldShards(), a) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, at := range []time.Duration{1, 40, 75, 110, 160, 230} {
				w := newShardedWorld(t, 100+uint64(at), 3, 40)
				a, b := w.nodes[0], w.nodes[1]
				w.moveShards(a.heldShards(), b)
				w.after(at*time.Millisecond, func() { fault(w, a, b) })
				w.runWithLoad(4 * time.Second)
				w.run(w.now + 45*time.Second)
				w.expectAllFinished(t, 150*time.Second)
			}
		})
	}
}

// TestGangIsNotSplitByShardMoves tests gangs on machines of several shards, most of which move
// while the gangs are queued and running. No task may be started again, and a team at its
// limit must stay within it.
func TestGangIsNotSplitByShardMoves(t *testing.T) {
	// With seeds 41 and 42, the starts of all missing tasks of a gang are refused for a while.
	for _, seed := range []uint64{14, 41, 42} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { testGangDuringShardMoves(t, seed) })
	}
}

// testGangDuringShardMoves runs TestGangIsNotSplitByShardMoves with a seed.
func testGangDuringShardMoves(t *testing.T, seed uint64) {
	t.Helper()
	t.Parallel()
	w := newShardedWorld(t, seed, 3, 60)
	w.expectAllFinished(t, 60*time.Second)
	starts, tasks := w.starts, w.acceptedTasks()
	for range 3 {
		w.submit(protocol.Job{Class: "gang", Team: "free", Kind: protocol.KindGang, Priority: "standard", Tasks: 9, CPUs: 4, EstimateS: 5, Spot: true})
		w.submit(protocol.Job{Class: "array", Team: "bound", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 30, CPUs: 2, EstimateS: 5, Spot: true})
		for i := range 12 {
			w.run(w.now + 250*time.Millisecond)
			w.moveRandomShards(12)
			w.moveShards(w.nodes[i%3].heldShards(), w.nodes[(i+1)%3])
		}
	}
	w.expectAllFinished(t, 240*time.Second) // the jobs of the team at its limit take long
	if restarts := w.starts - starts - (w.acceptedTasks() - tasks); restarts != 0 {
		t.Errorf("%d tasks were started again", restarts)
	}
}

// TestShardsWithFiveControllersAndWithOne tests that all of five controllers hold shards, that
// the other three take over when two crash, and that a single controller can restart and
// finish all jobs.
func TestShardsWithFiveControllersAndWithOne(t *testing.T) {
	t.Parallel()
	w := newShardedWorld(t, 15, 5, 200)
	w.run(w.now + 20*time.Second)
	if counts := w.shardCounts(); len(counts) != 5 {
		t.Errorf("shards by controller: %v", counts)
	}
	w.nodes[1].crashFor(30 * time.Second)
	w.nodes[3].crashFor(30 * time.Second)
	w.runWithLoad(20 * time.Second)
	if counts := w.shardCounts(); len(counts) != 3 {
		t.Errorf("shards by controller after two crashes: %v, want three controllers", counts)
	}
	w.expectAllFinished(t, 150*time.Second)

	w = newShardedWorld(t, 16, 1, 30)
	w.nodes[0].shutDown() // there is no controller to hand over to
	w.runWithLoad(3 * time.Second)
	w.run(w.now + 30*time.Second)
	w.expectAllFinished(t, 150*time.Second)
}

// TestRollingUpgrade upgrades controllers from a version without shards, one after the other.
// After two of three it downgrades one again and then repeats the upgrade. The shard table
// must not exist before the last controller is upgraded, and fencing tokens only increase.
func TestRollingUpgrade(t *testing.T) {
	t.Parallel()
	s := fake.Settings()
	w := newWorld(t.Fatalf, 17, s, 60, 60)
	for _, n := range w.nodes {
		n.layout = record.LayoutBlocks
	}
	w.run(3 * time.Second)
	w.runWithLoad(5 * time.Second)
	w.layout = record.LayoutShards
	for i, n := range w.nodes[:2] {
		n.crash()
		w.runWithLoad(15 * time.Second)
		if _, there := w.shardTable(); there {
			t.Fatalf("the shard table exists after the upgrade of %d of 3 controllers", i+1)
		}
	}
	w.layout = record.LayoutBlocks // downgrade
	w.nodes[0].crash()
	w.runWithLoad(15 * time.Second)
	w.layout = record.LayoutShards
	for _, n := range w.nodes {
		n.crash()
		w.runWithLoad(15 * time.Second)
	}
	if counts := w.shardCounts(); len(counts) != 3 {
		t.Errorf("shards by controller: %v", counts)
	}
	w.expectAllFinished(t, 150*time.Second)
}

// TestRulesHoldDuringShardMoves runs generated scenarios in which shards move all the time, in
// all directions, with all the faults of other scenarios.
func TestRulesHoldDuringShardMoves(t *testing.T) {
	fault := func(w *world) {
		for range 1 + w.rng.IntN(4) {
			w.moveRandomShards(32)
		}
		w.after(time.Duration(w.rng.IntN(400))*time.Millisecond, func() {
			if w.rng.IntN(2) == 0 {
				w.injectRandomFault()
			} else {
				w.nodes[w.rng.IntN(3)].shutDown()
			}
		})
	}
	scenario{machines: 12, job: (*world).randomJob, duration: 120 * time.Second, fault: fault, faultEveryStep: true}.runSeeds(t, 60, 500_000)
}
