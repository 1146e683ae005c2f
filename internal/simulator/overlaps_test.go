package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
)

// cancelRandomJobs picks up to n random jobs, at random times within the duration d, and
// cancels those that are not in a final state.
func (w *world) cancelRandomJobs(n int, d time.Duration) {
	for range n {
		w.after(time.Duration(w.rng.Int64N(int64(d)+1)), func() {
			if len(w.jobOrder) == 0 {
				return
			}
			if id := w.jobOrder[w.rng.IntN(len(w.jobOrder))]; w.finalState[id] == "" {
				w.cancel(id)
			}
		})
	}
}

// partitionFromPeers partitions a controller from all others for the duration d, and cuts the
// batches that it sends to itself as well. The messages are delayed until the end if delayed
// is set, otherwise lost.
func (n *node) partitionFromPeers(d time.Duration, delayed bool) {
	w := n.world
	for _, p := range w.nodes {
		w.partition(string(n.name), string(p.name), d, delayed)
	}
}

// forRandomWorkers calls do for each running worker with the probability fraction.
func (w *world) forRandomWorkers(fraction float64, do func(*worker)) {
	for _, id := range w.machineOrder {
		if m := w.workers[id]; !m.Dead && w.rng.Float64() < fraction {
			do(m)
		}
	}
}

// partitionThenOutage partitions one controller from the key-value store, cancels jobs through
// the other controllers meanwhile, and 1 to 16 s later starts an outage of the key-value store
// for all that lasts at least cancel_s. The controller may also be partitioned from its peers,
// be paused or crash, or shards may move. It does nothing in the first 25 s of a run and
// during an outage.
func (n *node) partitionThenOutage() {
	w := n.world
	if w.now < 25*time.Second || w.outageUntil > w.now {
		return // jobs have to be running
	}
	rejectedFor := time.Duration(1000+w.rng.IntN(15_000)) * time.Millisecond
	outage := time.Duration(w.settings.Site.Workers.CancelS+float64(w.rng.IntN(20))) * time.Second
	w.partition(string(n.name), "state", rejectedFor+outage, w.rng.IntN(2) == 0)
	if w.rng.IntN(3) == 0 {
		for _, p := range w.nodes {
			w.partition(string(n.name), string(p.name), rejectedFor+outage/2, w.rng.IntN(2) == 0)
		}
	}
	w.cancelRandomJobs(1+w.rng.IntN(6), rejectedFor)
	w.after(rejectedFor, func() { w.outageUntil = max(w.outageUntil, w.now+outage) })
	switch w.rng.IntN(4) {
	case 0:
		w.after(rejectedFor/2, func() { n.pausedUntil = max(n.pausedUntil, w.now+time.Duration(3+w.rng.IntN(37))*time.Second) })
	case 1:
		w.after(rejectedFor/2, func() { n.crashFor(200 * time.Millisecond) })
	case 2:
		w.after(rejectedFor/2, func() { w.moveRandomShards(16) })
	}
}

// injectOverlappingFault injects one random fault of those that the operators have specified
// for overlaps: partitions, late transactions, repeated heartbeats, slow messages, paused or
// unreachable workers, fast restarts, and a slow key-value store. Called two or three times in
// a row, it injects overlapping faults.
func (w *world) injectOverlappingFault() {
	n := w.nodes[w.rng.IntN(3)]
	d := time.Duration(2+w.rng.IntN(25)) * time.Second
	delayed := w.rng.IntN(2) == 0
	switch w.rng.IntN(14) {
	case 12, 13:
		w.slowMessageFraction = 0.1 + w.rng.Float64()/2
		w.after(d, func() { w.slowMessageFraction = 0 })
	case 0:
		if w.rng.IntN(6) == 0 {
			n.partitionThenOutage()
		}
	case 1: // partitioned from the key-value store and its peers, not from workers
		w.partition(string(n.name), "state", d, delayed)
		n.partitionFromPeers(d, delayed)
		w.cancelRandomJobs(3, d)
	case 2, 3:
		w.lateWriteFraction = 0.1 + w.rng.Float64()/2
		w.after(d, func() { w.lateWriteFraction = 0 })
	case 4, 5:
		w.duplicateHeartbeatFraction = 0.1 + w.rng.Float64()/2
		w.after(d, func() { w.duplicateHeartbeatFraction = 0 })
	case 6:
		w.forRandomWorkers(0.3, func(m *worker) { m.inboundLostUntil = w.now + d })
	case 7, 8: // most pauses are shorter than the lease
		w.forRandomWorkers(0.4, func(m *worker) { m.pausedUntil = w.now + time.Duration(300+w.rng.IntN(17_000))*time.Millisecond })
	case 9:
		n.crashFor(time.Duration(100+w.rng.IntN(900)) * time.Millisecond)
	case 10:
		for _, n := range w.nodes {
			if n != w.nodes[0] || w.rng.IntN(2) == 0 {
				n.crashFor(time.Duration(100+w.rng.IntN(900)) * time.Millisecond)
			}
		}
	case 11:
		w.stateLatency = time.Duration(1+w.rng.IntN(3)) * 200 * time.Millisecond
		w.after(d, func() { w.stateLatency = 0 })
	}
}

// drawSpreadRunTime draws run times that differ widely: 0.5 to 9.5 s, or, for one task in
// four, 20 to 59 s, which is longer than most faults last.
func (w *world) drawSpreadRunTime(protocol.TaskID) time.Duration {
	if w.rng.IntN(4) == 0 {
		return time.Duration(20+w.rng.IntN(40)) * time.Second
	}
	return time.Duration(500+w.rng.IntN(9000)) * time.Millisecond
}

// TestRulesHoldUnderOverlappingFaults runs scenarios in which two or three of the operators'
// faults overlap repeatedly, with long tasks, jobs of a few tasks that end at very different
// times, and many cancellations.
func TestRulesHoldUnderOverlappingFaults(t *testing.T) {
	fault := func(w *world) {
		w.runTime = w.drawSpreadRunTime
		if w.rng.IntN(2) == 0 {
			return
		}
		for range 2 + w.rng.IntN(2) {
			w.injectOverlappingFault()
		}
		w.cancelRandomJobs(w.rng.IntN(3), 2*time.Second)
	}
	scenario{machines: 9, job: (*world).randomJob, duration: 150 * time.Second, fault: fault, faultEveryStep: true, settleTime: 30 * time.Second}.runSeeds(t, 40, 700_000)
}

// TestRulesHoldWithDelayedCommands runs scenarios in which a large fraction of all commands,
// heartbeats and their replies takes seconds and arrives in any order, and workers are
// paused and resume, while fencing tokens rise, shards move, machines get preemption notices,
// and occasionally all controllers crash.
func TestRulesHoldWithDelayedCommands(t *testing.T) {
	fault := func(w *world) {
		w.slowMessageFraction = 0.2 + w.rng.Float64()/2
		switch w.rng.IntN(5) {
		case 0:
			w.moveRandomShards(16)
		case 1:
			w.forRandomWorkers(0.3, func(m *worker) { m.pausedUntil = w.now + time.Duration(300+w.rng.IntN(9000))*time.Millisecond })
		case 2:
			w.forRandomWorkers(0.2, func(m *worker) {
				notice := 12.0
				m.Notice = &notice
				w.after(12*time.Second, func() { m.Notice = nil }) // not preempted after all
			})
		case 3:
			w.forRandomWorkers(0.2, func(m *worker) {
				m.Faulty = true
				w.after(3*time.Second, func() { m.Faulty = false })
			})
		case 4: // as in docs/incidents/2026-12-02-array-task-started-twice.md
			if w.rng.IntN(4) == 0 {
				for _, n := range w.nodes {
					n.crashFor(time.Duration(100+w.rng.IntN(6000)) * time.Millisecond)
				}
			}
		}
	}
	scenario{machines: 9, job: (*world).randomJob, duration: 120 * time.Second, fault: fault, faultEveryStep: true, settleTime: 15 * time.Second}.runSeeds(t, 20, 800_000)
}

// partitionOutage is a case in which one controller is partitioned from the key-value store
// while others confirm cancellations, and the key-value store then has an outage for all.
type partitionOutage struct {
	rejectedFor    time.Duration // how long the partition lasts before the outage
	delayed        bool          // transactions are delayed rather than refused
	partitionPeers bool          // partition the controller from its peers as well
	extraFault     func(*world, *node)
}

// run runs the case on machines full of long tasks, and cancels jobs during the partition and
// right before the outage. It returns how many tasks of cancelled jobs were on machines when
// the cancellation was confirmed, and the longest time that such a task stayed.
func (m partitionOutage) run(fail func(string, ...any), seed uint64, nodeLease time.Duration) (tasksOnMachines int, longestStay time.Duration) {
	const machines = 24
	w := newWorld(fail, seed, fake.Settings(), machines, machines)
	w.nodeLease = nodeLease
	w.runTime = func(protocol.TaskID) time.Duration { return 10 * time.Minute }
	w.run(3 * time.Second)
	for range 40 { // some tasks are still fetching images or queued when the partition starts
		w.submit(protocol.Job{Class: "array", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 2, CPUs: 1, EstimateS: 600, Spot: true, CheckpointS: 2, CheckpointDurationS: 2})
		w.submit(protocol.Job{Class: "gang", Team: "free", Kind: protocol.KindGang, Priority: "high", Tasks: 2, CPUs: 1, EstimateS: 600, Spot: true, CheckpointS: 2, CheckpointDurationS: 2})
		w.run(w.now + 250*time.Millisecond)
	}
	n := w.nodes[seed%3]
	outage := time.Duration(w.settings.Site.Workers.CancelS)*time.Second + 10*time.Second
	w.partition(string(n.name), "state", m.rejectedFor+outage, m.delayed)
	if m.partitionPeers {
		n.partitionFromPeers(m.rejectedFor+outage, m.delayed)
	}
	if m.extraFault != nil {
		m.extraFault(w, n)
	}
	start := w.now
	cancel := func() {
		id := w.jobOrder[w.rng.IntN(len(w.jobOrder))]
		if _, already := w.cancelled[id]; already {
			return
		}
		w.cancel(id)
		for t := range w.onMachine {
			if t.Job == id {
				tasksOnMachines++
			}
		}
	}
	for at := time.Duration(0); at < m.rejectedFor; at += 300 * time.Millisecond {
		w.after(at, cancel)
	}
	w.after(m.rejectedFor, func() { // the controllers can't observe these cancellations before the outage
		for range 12 {
			cancel()
		}
		w.outageUntil = w.now + outage
	})
	for w.now < start+m.rejectedFor+outage {
		w.run(w.now + 100*time.Millisecond)
		for t := range w.onMachine {
			if at, ok := w.cancelled[t.Job]; ok {
				longestStay = max(longestStay, w.now-at)
			}
		}
	}
	return tasksOnMachines, longestStay
}

// partitionOutages returns the cases of partitionOutage by name. They differ in how long the
// partition lasts before the outage, in what it affects, and in the fault that is added.
func partitionOutages() map[string]partitionOutage {
	pause := func(d time.Duration) func(*world, *node) {
		return func(w *world, n *node) {
			w.after(time.Second, func() { n.pausedUntil = w.now + d })
		}
	}
	return map[string]partitionOutage{
		"the session survives":                   {rejectedFor: 3 * time.Second},
		"the outage starts at once":              {rejectedFor: 200 * time.Millisecond},
		"before the lease expires":               {rejectedFor: 7 * time.Second},
		"a new view that no controller has seen": {rejectedFor: 8500 * time.Millisecond},
		"shards taken over":                      {rejectedFor: 14 * time.Second},
		"transactions are delayed":               {rejectedFor: 9 * time.Second, delayed: true},
		"partitioned from peers too":             {rejectedFor: 9 * time.Second, partitionPeers: true},
		"all messages delayed, peers too":        {rejectedFor: 5 * time.Second, partitionPeers: true, delayed: true},
		"paused for 3 s":                         {rejectedFor: 6 * time.Second, extraFault: pause(3 * time.Second)},
		"paused for 40 s":                        {rejectedFor: 6 * time.Second, extraFault: pause(40 * time.Second)},
		"crash and restart at once":              {rejectedFor: 6 * time.Second, extraFault: func(w *world, n *node) { w.after(2*time.Second, func() { n.crashFor(200 * time.Millisecond) }) }},
		"shards move":                            {rejectedFor: 4 * time.Second, extraFault: func(w *world, _ *node) { w.moveRandomShards(60) }},
		"commands are delayed":                   {rejectedFor: 9 * time.Second, extraFault: func(w *world, _ *node) { w.slowMessageFraction = 0.4 }},
		"workers are paused": {rejectedFor: 9 * time.Second, extraFault: func(w *world, _ *node) {
			w.forRandomWorkers(0.5, func(sw *worker) { sw.pausedUntil = w.now + 12*time.Second })
		}},
		"transactions are applied late": {rejectedFor: 9 * time.Second, extraFault: func(w *world, _ *node) { w.lateWriteFraction = 0.3 }},
	}
}

// TestCancelledTasksStopDuringPartitionThenOutage runs each case of partitionOutages with each
// controller as the partitioned one. The tasks of cancelled jobs must be stopped within
// config.MaxCancellationDelay, the bound of docs/design.md, and one step of the world.
func TestCancelledTasksStopDuringPartitionThenOutage(t *testing.T) {
	for name, m := range partitionOutages() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seedCount(3)) {
				tasksOnMachines, longestStay := m.run(t.Fatalf, 900+seed, nodeLeaseDuration)
				if tasksOnMachines == 0 {
					t.Error("no task of a cancelled job was on a machine, so the test checks nothing")
				}
				w := fake.Settings().Site.Workers
				if bound := config.MaxCancellationDelay(nodeLeaseDuration, w) + defaultStep; longestStay > bound {
					t.Errorf("seed %d: a task of a cancelled job stayed on its machine for %v, the bound is %v", seed, longestStay, bound)
				}
				t.Logf("%d tasks of cancelled jobs on machines, for at most %v", tasksOnMachines, longestStay)
			}
		})
	}
}

// TestExpiredLeaseViolationIsDetected runs a partitionOutage, in which the session survives,
// with controllers that continue to renew workers' leases long after their own lease has
// expired. This must violate the rule that tasks of cancelled jobs are stopped in time, which
// shows that the check works.
func TestExpiredLeaseViolationIsDetected(t *testing.T) {
	detected := false
	fail := func(format string, args ...any) {
		detected = detected || strings.Contains(fmt.Sprintf(format, args...), "ran_cancelled")
	}
	for seed := range uint64(3) {
		partitionOutage{rejectedFor: 3 * time.Second}.run(fail, 900+seed, time.Minute)
	}
	if !detected {
		t.Error("tasks of cancelled jobs stayed on machines too long, and no violation was reported")
	}
}

// smallRandomJob returns a random job of one to three tasks, often of a limited team.
func smallRandomJob(w *world) protocol.Job {
	j := w.randomJob()
	if j.Tasks = min(j.Tasks, 3); j.Kind != protocol.KindGang && w.rng.IntN(2) == 0 {
		j.Team = "bound"
	}
	return j
}

// TestRulesHoldUnderEachOverlappingFault runs scenarios for each combination of overlapping
// faults that the operators have specified, with jobs of a few tasks that end at very
// different times.
func TestRulesHoldUnderEachOverlappingFault(t *testing.T) {
	crashBriefly := func(w *world, maxDown time.Duration) {
		w.nodes[w.rng.IntN(3)].crashFor(100*time.Millisecond + time.Duration(w.rng.Int64N(int64(maxDown))))
	}
	for name, fault := range map[string]func(*world){
		"jobs end during leader changes": func(w *world) { crashBriefly(w, 9*time.Second) },
		"partitioned from the state service and all peers": func(w *world) {
			if n, d := w.nodes[w.rng.IntN(3)], time.Duration(4+w.rng.IntN(70))*time.Second; w.rng.IntN(6) == 0 {
				delayed := w.rng.IntN(2) == 0
				w.partition(string(n.name), "state", d, delayed)
				n.partitionFromPeers(d, delayed)
				w.cancelRandomJobs(4, d)
			}
		},
		"transactions are applied late": func(w *world) {
			w.lateWriteFraction = 0.35
			if w.rng.IntN(3) == 0 {
				crashBriefly(w, time.Second)
			}
		},
		"a leader crashes while workers are paused or lose messages": func(w *world) {
			d := time.Duration(2+w.rng.IntN(30)) * time.Second
			w.forRandomWorkers(0.3, func(sw *worker) {
				if w.rng.IntN(2) == 0 {
					sw.inboundLostUntil = w.now + d
				} else {
					sw.pausedUntil = w.now + d
				}
			})
			if w.rng.IntN(3) == 0 {
				crashBriefly(w, 9*time.Second)
			}
		},
		"shards move and move back within a second": func(w *world) {
			w.moveRandomShards(24)
			w.after(time.Duration(w.rng.IntN(300))*time.Millisecond, func() { crashBriefly(w, 900*time.Millisecond) })
			w.after(time.Duration(300+w.rng.IntN(900))*time.Millisecond, func() { w.moveRandomShards(24) })
		},
		"slow state service, then partition, then outage": func(w *world) {
			w.stateLatency = time.Duration(w.rng.IntN(4)) * 200 * time.Millisecond
			if w.rng.IntN(8) == 0 {
				w.nodes[w.rng.IntN(3)].partitionThenOutage()
			}
		},
		"old heartbeats arrive after newer ones": func(w *world) {
			w.duplicateHeartbeatFraction = 0.6
			switch w.rng.IntN(5) {
			case 0:
				crashBriefly(w, 9*time.Second)
			case 1:
				w.moveRandomShards(24)
			case 2:
				w.forRandomWorkers(0.2, func(sw *worker) { sw.pausedUntil = w.now + time.Duration(w.rng.IntN(25))*time.Second })
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			injectAll := func(w *world) {
				w.runTime = w.drawSpreadRunTime
				fault(w)
				w.cancelRandomJobs(w.rng.IntN(2), time.Second)
			}
			scenario{machines: 9, job: smallRandomJob, duration: 100 * time.Second, fault: injectAll, faultEveryStep: true, settleTime: 30 * time.Second}.runSeeds(t, 6, 900_000)
		})
	}
}
