package simulator

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
)

// TestRulesHold runs generated scenarios with crashes, partitions, delayed messages, late
// transactions, outages, lost machines and restarts. Every rule is checked at every step.
func TestRulesHold(t *testing.T) {
	scenario{machines: 9, job: (*world).randomJob, duration: 150 * time.Second}.runSeeds(t, 60, 0)
}

// TestRulesHoldWithReservations runs the scenarios of TestRulesHold with reservations and
// maintenance windows that start within a minute and are added, changed and cancelled at
// random times.
func TestRulesHoldWithReservations(t *testing.T) {
	scenario{machines: 9, job: (*world).randomJob, duration: 150 * time.Second, reservations: true}.runSeeds(t, 25, 400_000)
}

// TestRulesHoldAtSize runs scenarios with many machines that all register at once, gangs of
// up to ten tasks, often in one zone, and arrays of hundreds of tasks.
func TestRulesHoldAtSize(t *testing.T) {
	scenario{machines: 150, job: largeJob(9, 20), duration: 80 * time.Second}.runSeeds(t, 4, 100_000)
}

// TestRunsAreReproducible tests that two runs of a scenario with the same seed make the same
// changes in the key-value store. Otherwise a failing seed could not be debugged.
func TestRunsAreReproducible(t *testing.T) {
	for seed := range seedCount(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var first []protocol.Event
			for try := range 2 {
				d := scenario{machines: 150, job: largeJob(9, 20), duration: 50 * time.Second}
				log := d.run(t, 100_000+seed).state.Log
				if try == 0 {
					first = log
					continue
				}
				for i := range first {
					if i >= len(log) || first[i].Put != log[i].Put || first[i].Delete != log[i].Delete || !bytes.Equal(first[i].Value, log[i].Value) {
						t.Fatalf("change %d of %d and %d differs: %s%s and %s%s", i, len(first), len(log), first[i].Put, first[i].Delete, log[min(i, len(log)-1)].Put, log[min(i, len(log)-1)].Delete)
					}
				}
			}
		})
	}
}

// TestRulesHoldForAFleet runs scenarios with thousands of machines that all register at once,
// arrays of thousands of tasks, partitions of zones, and crashes of all controllers for longer
// than the workers' leases.
func TestRulesHoldForAFleet(t *testing.T) {
	fault := func(w *world) {
		d := time.Duration(10+w.rng.IntN(30)) * time.Second
		if w.rng.IntN(3) > 0 {
			w.partitionZone(w.nodeZone(w.rng.IntN(2)), w.rng.IntN(2) == 0, d, w.rng.IntN(2) == 0)
			return
		}
		for _, n := range w.nodes { // longer than the workers' leases of 15 s
			n.crashFor(20 * time.Second)
		}
	}
	scenario{machines: requestedMachines(3000), job: largeJob(23, 500), duration: 50 * time.Second, fault: fault}.runSeeds(t, 1, 300_000)
}

// TestRulesHoldForLimitedTeams runs scenarios that start without machines, with limits for
// all teams, zones that are partitioned from everything or from one another for longer than
// leases and cancellations last, and a temporarily reduced capacity of the cloud.
func TestRulesHoldForLimitedTeams(t *testing.T) {
	const machines = 9
	teams := []config.Team{{Name: "cold", CPUs: 8, MaxCPUs: 24}, {Name: "desk", CPUs: 6, MaxCPUs: 12}, {Name: "yield", MaxCPUs: 8}}
	job := func(w *world) protocol.Job {
		j := w.randomJob()
		j.Team = teams[w.rng.IntN(len(teams))].Name
		j.Priority = []protocol.Priority{"high", "standard", "best_effort"}[w.rng.IntN(3)]
		if n := uint32(teams[2].MaxCPUs / j.CPUs); j.Kind != protocol.KindJobArray {
			j.Tasks = min(j.Tasks, n)
		}
		return j
	}
	fault := func(w *world) {
		d := time.Duration(5+w.rng.IntN(50)) * time.Second // leases last 15 s, cancellations 35 s
		switch w.rng.IntN(4) {
		case 0:
			w.partitionZone(w.nodeZone(w.rng.IntN(2)), true, d, w.rng.IntN(2) == 0)
		case 1:
			w.partitionZone(w.nodeZone(w.rng.IntN(2)), false, d, w.rng.IntN(2) == 0)
		case 2:
			w.partition(string(w.nodes[w.rng.IntN(3)].name), "state", d, false)
		case 3:
			w.cloud.Capacity = len(w.cloud.Machines) / 2
			w.after(d, func() { w.cloud.Capacity = machines + 6 })
		}
	}
	scenario{machines: machines, job: job, duration: 150 * time.Second, startEmpty: true, teams: teams, fault: fault}.runSeeds(t, 40, 200_000)
}

// TestRulesHoldWithFastRestarts runs scenarios in which crashed processes restart within half
// a second: one, all, or the same one repeatedly, during view changes, shard moves, takeovers
// and registrations. The key-value store is slow at times, so that requests of an earlier
// process take effect while the next one is running.
func TestRulesHoldWithFastRestarts(t *testing.T) {
	crashBriefly := func(w *world, n *node) { n.crashFor(time.Duration(100+w.rng.IntN(400)) * time.Millisecond) }
	fault := func(w *world) {
		n := w.nodes[w.rng.IntN(3)]
		switch w.rng.IntN(8) {
		case 0, 1, 2:
			crashBriefly(w, n)
		case 3:
			for _, n := range w.nodes {
				crashBriefly(w, n)
			}
		case 4: // one after the other, each while the previous one rejoins
			for i, n := range w.nodes {
				w.after(time.Duration(i)*700*time.Millisecond, func() { crashBriefly(w, n) })
			}
		case 5:
			for i := range 1 + w.rng.IntN(30) {
				w.after(time.Duration(i)*time.Second, func() { crashBriefly(w, n) })
			}
		case 6: // while shards move
			w.moveRandomShards(16)
			w.after(time.Duration(w.rng.IntN(400))*time.Millisecond, func() { crashBriefly(w, n) })
		case 7:
			w.stateLatency = time.Duration(w.rng.IntN(3)) * 200 * time.Millisecond
			w.after(5*time.Second, func() { w.stateLatency = 0 })
		}
	}
	scenario{machines: 9, job: (*world).randomJob, duration: 120 * time.Second, fault: fault, faultEveryStep: true}.runSeeds(t, 40, 500_000)
}

// partitionFromOneOrAll partitions a controller from all other endpoints, or from one of them.
func (n *node) partitionFromOneOrAll(d time.Duration, delayed bool) {
	w := n.world
	endpoints := []string{"state", "workers"}
	for _, peer := range w.nodes {
		if peer != n {
			endpoints = append(endpoints, string(peer.name))
		}
	}
	if chosen := w.rng.IntN(2 * len(endpoints)); chosen < len(endpoints) {
		endpoints = endpoints[chosen : chosen+1]
	}
	for _, endpoint := range endpoints {
		w.partition(string(n.name), endpoint, d, delayed)
	}
}

// TestRulesHoldWithLongPartitions partitions controllers from all endpoints or one for up to two
// minutes, longer than their leases; messages are lost or delayed until the end. Partitions may
// overlap and happen in rolling restarts. Controllers also pause for 3 to 40 s, even while shards
// move: their clocks run on, and they handle all messages on resume.
func TestRulesHoldWithLongPartitions(t *testing.T) {
	fault := func(w *world) {
		i := w.rng.IntN(3)
		n, next := w.nodes[i], w.nodes[(i+1)%3]
		partitionLength := time.Duration(60+w.rng.IntN(60)) * time.Second
		pauseLength := time.Duration(3+w.rng.IntN(37)) * time.Second
		delayed := w.rng.IntN(2) == 0
		switch w.rng.IntN(5) {
		case 0:
			n.partitionFromOneOrAll(partitionLength, delayed)
		case 1:
			n.partitionFromOneOrAll(partitionLength, delayed)
			w.after(partitionLength/2, func() { next.partitionFromOneOrAll(partitionLength, delayed) })
		case 2:
			w.rollingRestart()
			n.partitionFromOneOrAll(partitionLength, delayed)
		case 3:
			w.moveRandomShards(16)
			w.after(time.Duration(w.rng.IntN(300))*time.Millisecond, func() { n.pausedUntil = max(n.pausedUntil, w.now+pauseLength) })
		case 4:
			n.pausedUntil = max(n.pausedUntil, w.now+pauseLength)
			w.after(pauseLength/2, func() { next.pausedUntil = max(next.pausedUntil, w.now+pauseLength) })
		}
	}
	scenario{machines: 9, job: (*world).randomJob, duration: 150 * time.Second, fault: fault}.runSeeds(t, 40, 600_000)
}
