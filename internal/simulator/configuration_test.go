package simulator

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// TestLimitLoweredDuringFaults: a team that is at its limit has it lowered while each
// failure that it must tolerate goes on. No start puts the team over a limit that was
// in force, the request is carried out once, and in the end all act by it.
func TestLimitLoweredDuringFaults(t *testing.T) {
	for name, fault := range map[string]func(w *configuredWorld, first *node){
		"none": func(*configuredWorld, *node) {},
		"one stands still for 40 s and wakes": func(w *configuredWorld, _ *node) {
			w.nodes[1].pausedUntil = w.now + 40*time.Second
		},
		"the state service is out": func(w *configuredWorld, _ *node) {
			w.after(20*time.Millisecond, func() { w.outageUntil = w.now + 15*time.Second })
		},
		"one is cut off from the state service, not from workers": func(w *configuredWorld, _ *node) {
			w.partition(string(w.nodes[1].name), "state", 40*time.Second, true)
		},
		"one hears the records, but reaches neither its peers nor the state service": func(w *configuredWorld, _ *node) {
			w.partition(string(w.nodes[2].name), "state", 30*time.Second, false)
			w.nodes[2].partitionFromPeers(30*time.Second, true)
		},
		"a zone with a controller is apart": func(w *configuredWorld, _ *node) {
			w.partitionZone("b", true, 60*time.Second, true)
		},
		"one restarts meanwhile": func(w *configuredWorld, _ *node) { w.nodes[1].crashFor(200 * time.Millisecond) },
		"all restart":            func(w *configuredWorld, _ *node) { w.rollingShutdown() },
		"shares move": func(w *configuredWorld, _ *node) {
			for i := range 20 {
				w.after(time.Duration(i)*300*time.Millisecond, func() { w.moveRandomShards(8) })
			}
		},
		"the records are followed far too late": func(w *configuredWorld, _ *node) {
			w.watchLag = 20 * time.Second
			w.after(30*time.Second, func() { w.watchLag = 0 })
		},
		"transactions are late, or only their answers are lost": func(w *configuredWorld, _ *node) {
			w.lateWriteFraction, w.lostAnswerFraction = 0.4, 0.4
			w.after(10*time.Second, func() { w.lateWriteFraction, w.lostAnswerFraction = 0, 0 })
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				w := newConfiguredWorld(t, 900+seed, 40)
				if used := w.usedCPUs("bound"); used < 50 {
					t.Fatalf("the team uses %v processors of 60", used)
				}
				w.requestLimit(0, "bound", 24)
				w.after(time.Duration(seed)*10*time.Millisecond, func() { fault(w, w.nodes[0]) })
				w.runAtLimits(75 * time.Second)
				w.run(w.now + 5*time.Second)
				w.expectRevisionInForce(t, 1)
				if used := w.usedCPUs("bound"); used > 24 {
					t.Errorf("the team uses %v processors of 24 in the end", used)
				}
			}
		})
	}
}

// TestConfigurationChangeSurvivesCrashAtEachStep: the controller that makes a change ends some milliseconds
// after the request. The same request, sent to others, is executed once.
func TestConfigurationChangeSurvivesCrashAtEachStep(t *testing.T) {
	t.Parallel()
	for at := time.Duration(0); at < 200*time.Millisecond; at += 10 * time.Millisecond {
		w := newConfiguredWorld(t, 930+uint64(at/time.Millisecond), 12)
		w.requestLimit(0, "bound", 24)
		w.after(at, func() { w.nodes[0].crash() })
		w.run(w.now + 30*time.Second)
		w.expectRevisionInForce(t, 1)
	}
}

// TestConcurrentConfigurationChanges: two operators change the same team at two controllers in the
// same moment. One after the other is carried out, and all end with the same.
func TestConcurrentConfigurationChanges(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		w := newConfiguredWorld(t, 960+seed, 12)
		w.requestLimit(0, "bound", 30)
		w.requestLimit(1, "bound", 40)
		w.requestLimit(2, "other", 50)
		w.run(w.now + 10*time.Second)
		w.expectRevisionInForce(t, 3)
		first, _ := w.nodes[0].core.ConfigurationInForce().Team("bound")
		for _, n := range w.nodes {
			if team, _ := n.core.ConfigurationInForce().Team("bound"); team != first {
				t.Errorf("%s: %+v, the first controller has %+v", n.name, team, first)
			}
		}
	}
}

// TestManyConfigurationChangesUnderLoad: 200 changes within a minute, under full load, while a
// controller is paused and another one restarts. Who can follow acts by each within
// seconds.
func TestManyConfigurationChangesUnderLoad(t *testing.T) {
	t.Parallel()
	w := newConfiguredWorld(t, 990, 40)
	for i := range 200 {
		w.after(time.Duration(i)*300*time.Millisecond, func() {
			w.requestLimit(i%3, []string{"bound", "other"}[i%2], float64(40+w.rng.IntN(20)))
		})
	}
	w.after(20*time.Second, func() { w.nodes[1].pausedUntil = w.now + 15*time.Second })
	w.after(45*time.Second, func() { w.nodes[2].crashFor(time.Second) })
	w.runAtLimits(70 * time.Second)
	w.run(w.now + 20*time.Second)
	w.recordCommits()
	if w.unsettled > 0 || len(w.commits) < 150 { // now and then a limit is what it was
		t.Errorf("%d requests are not settled, %d revisions", w.unsettled, len(w.commits))
	}
	w.expectRevisionInForce(t, dynamicconfig.Revision(len(w.commits)))
	if w.maxApplyDelay == 0 || w.maxApplyDelay > 3*time.Second {
		t.Errorf("a controller took %v to apply a revision", w.maxApplyDelay)
	}
}

// TestNoStartsInClosedZone: nothing is started in a zone that is closed, what waits there goes
// elsewhere, and it is used again when it is open.
func TestNoStartsInClosedZone(t *testing.T) {
	t.Parallel()
	w := newConfiguredWorld(t, 995, 40)
	closed, starts := false, 0
	w.onTaskStarted = func(id protocol.MachineID, _ protocol.TaskID) {
		if w.workers[id].Zone == "a" {
			starts++
		}
	}
	setClosed := func(to bool) {
		w.requestChange(0, func(reply operatorapi.Reply) {
			if reply.Code != operatorapi.Done {
				t.Errorf("%+v", reply)
			}
		}, operatorapi.ConfigChange{Entry: "zone/a", Closed: &to})
		closed = to
	}
	setClosed(true)
	w.runAtLimits(5 * time.Second)
	starts = 0
	w.runAtLimits(20 * time.Second)
	if closed && starts > 0 {
		t.Errorf("%d tasks started in a closed zone", starts)
	}
	setClosed(false)
	w.runAtLimits(20 * time.Second)
	if starts == 0 {
		t.Error("nothing starts in the zone after it was opened")
	}
}

// TestConfigurationChangesNeedAllControllersUpgraded: changes are refused while a controller takes part that doesn't
// follow them, and one that joins later gets no lease.
func TestConfigurationChangesNeedAllControllersUpgraded(t *testing.T) {
	t.Parallel()
	w := newConfiguredWorld(t, 996, 12)
	if layout := w.nodes[0].core.View.Layout; layout != record.LayoutConfiguration {
		t.Fatalf("layout %d", layout)
	}
	w.requestLimit(0, "bound", 24)
	older := w.nodes[2]
	older.crash()
	w.after(100*time.Millisecond, func() { older.layout = record.LayoutShards })
	w.layout = record.LayoutShards
	w.run(w.now + 25*time.Second)
	if older.core == nil || older.core.Member() {
		t.Error("an older controller is a member")
	}
	reply, _ := w.nodes[0].core.Decide("ops", &operatorapi.Request{Op: operatorapi.OpConfigStatus})
	if len(reply.Config.Controllers) != 3 || !reply.Config.Controllers[2].Older {
		t.Errorf("it is not named: %+v", reply.Config)
	}

	mixed := newConfiguredWorld(t, 997, 12, 2)
	limit := 24.0
	reply, txn := mixed.nodes[0].core.Decide("ops", &operatorapi.Request{Op: operatorapi.OpConfigure, Config: &operatorapi.ConfigRequest{
		Changes: []operatorapi.ConfigChange{{Entry: "team/bound", MaxCPUs: &limit}},
	}})
	if txn != nil || reply.Code != operatorapi.Refused {
		t.Errorf("a change is taken beside an older controller: %+v", reply)
	}
}

// TestQueuedTasksRespectLoweredLimit: tasks that wait in machines' queues when their team's limit
// is lowered are not started by the limit that they were placed by, however long they
// wait, also where their shard moves or a controller that placed them was partitioned.
func TestQueuedTasksRespectLoweredLimit(t *testing.T) {
	for name, fault := range map[string]func(*configuredWorld){
		"none": func(*configuredWorld) {},
		"shares move": func(w *configuredWorld) {
			for i := range 12 {
				w.after(time.Duration(i)*700*time.Millisecond, func() { w.moveRandomShards(8) })
			}
		},
		"one is cut off from its peers": func(w *configuredWorld) { w.nodes[1].partitionFromPeers(25*time.Second, true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				w := newConfiguredWorld(t, 1020+seed, 12)
				w.runTime = func(protocol.TaskID) time.Duration { return 30 * time.Second }
				for range 4 { // first fill the machines
					w.submit(protocol.Job{Class: "array", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 20, CPUs: 1, EstimateS: 20, Spot: true})
				}
				w.run(w.now + 2*time.Second)
				w.submit(protocol.Job{Class: "array", Team: "bound", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 60, CPUs: 1, EstimateS: 20, Spot: true})
				w.run(w.now + 2*time.Second)
				w.requestLimit(0, "bound", 12)
				w.after(100*time.Millisecond, func() { fault(w) })
				w.run(w.now + 120*time.Second)
				w.expectRevisionInForce(t, 1)
			}
		})
	}
}

// TestRepeatedConfigurationRequestIsIdempotent: a request that is repeated after another one has
// changed the same again gets its first answer, and changes nothing.
func TestRepeatedConfigurationRequestIsIdempotent(t *testing.T) {
	t.Parallel()
	w := newConfiguredWorld(t, 1040, 12)
	limit := 24.0
	first := operatorapi.Request{Op: operatorapi.OpConfigure, ID: "first", Config: &operatorapi.ConfigRequest{
		Changes: []operatorapi.ConfigChange{{Entry: "team/bound", MaxCPUs: &limit}},
	}}
	if _, txn := w.nodes[0].core.Decide("ops", &first); txn == nil || !w.state.Txn(*txn) {
		t.Fatal("not written") // its answer is lost
	}
	w.run(w.now + time.Second)
	w.requestLimit(1, "bound", 40)
	w.run(w.now + 2*time.Second)
	reply, txn := w.nodes[2].core.Decide("ops", &first)
	if txn != nil || reply.Code != operatorapi.Done || reply.Config.Revision != 1 {
		t.Errorf("the repetition: %+v, %v", reply, txn)
	}
	w.expectRevisionInForce(t, 2)
}
