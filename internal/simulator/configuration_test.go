package simulator

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// TestLimitLoweredDuringFaults lowers the limit of a team that is at its limit, during each
// fault that the change must tolerate. No start may put the team over a limit that was in
// force, the request must be executed once, and in the end all controllers must apply the
// new limit.
func TestLimitLoweredDuringFaults(t *testing.T) {
	for name, fault := range map[string]func(w *configuredWorld, first *node){
		"none": func(*configuredWorld, *node) {},
		"one controller is paused for 40 s and resumes": func(w *configuredWorld, _ *node) {
			w.nodes[1].pausedUntil = w.now + 40*time.Second
		},
		"the state service has an outage": func(w *configuredWorld, _ *node) {
			w.after(20*time.Millisecond, func() { w.outageUntil = w.now + 15*time.Second })
		},
		"one controller is partitioned from the state service, not from workers": func(w *configuredWorld, _ *node) {
			w.partition(string(w.nodes[1].name), "state", 40*time.Second, true)
		},
		"one controller can reach neither its peers nor the state service": func(w *configuredWorld, _ *node) {
			w.partition(string(w.nodes[2].name), "state", 30*time.Second, false)
			w.nodes[2].partitionFromPeers(30*time.Second, true)
		},
		"a zone with a controller is partitioned": func(w *configuredWorld, _ *node) {
			w.partitionZone("b", true, 60*time.Second, true)
		},
		"one controller restarts": func(w *configuredWorld, _ *node) { w.nodes[1].crashFor(200 * time.Millisecond) },
		"all controllers restart": func(w *configuredWorld, _ *node) { w.rollingShutdown() },
		"shards move": func(w *configuredWorld, _ *node) {
			for i := range 20 {
				w.after(time.Duration(i)*300*time.Millisecond, func() { w.moveRandomShards(8) })
			}
		},
		"the watch lags by 20 s": func(w *configuredWorld, _ *node) {
			w.watchLag = 20 * time.Second
			w.after(30*time.Second, func() { w.watchLag = 0 })
		},
		"transactions are applied late, or only their replies are lost": func(w *configuredWorld, _ *node) {
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

// TestConfigurationChangeSurvivesCrashAtEachStep crashes the controller that makes a
// change, from 0 to 190 ms after the request. The operator retries the same request at the
// other controllers; it must be executed once.
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

// TestConcurrentConfigurationChanges requests two changes of the same team, and one of
// another team, at different controllers at the same time. The changes must be executed one
// after the other, and all controllers must end with the same configuration.
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

// TestManyConfigurationChangesUnderLoad makes 200 changes within a minute, under full load,
// while one controller is paused and another one restarts. Each controller that runs
// throughout must apply each revision within three seconds.
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
	if w.unsettled > 0 || len(w.commits) < 150 { // some requests set the limit that is already in force
		t.Errorf("%d requests are not settled, %d revisions", w.unsettled, len(w.commits))
	}
	w.expectRevisionInForce(t, dynamicconfig.Revision(len(w.commits)))
	if w.maxApplyDelay == 0 || w.maxApplyDelay > 3*time.Second {
		t.Errorf("a controller took %v to apply a revision", w.maxApplyDelay)
	}
}

// TestNoStartsInCordonedZone tests that no task starts in a cordoned zone, so that tasks queued
// there are placed elsewhere, and that the zone is used again after the end of its cordon.
func TestNoStartsInCordonedZone(t *testing.T) {
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
		t.Error("no task starts in the zone after it was opened")
	}
}

// TestConfigurationChangesNeedAllControllersUpgraded tests that changes are refused while a
// controller of an earlier version, which does not follow configuration changes, is a
// member, and that such a controller gets no lease if it joins after a change.
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
		t.Error("a controller of an earlier version is a member")
	}
	reply, _ := w.nodes[0].core.DecideOperatorRequest("ops", &operatorapi.Request{Op: operatorapi.OpConfigStatus})
	if len(reply.Config.Controllers) != 3 || !reply.Config.Controllers[2].Older {
		t.Errorf("the controller of an earlier version is not listed: %+v", reply.Config)
	}

	mixed := newConfiguredWorld(t, 997, 12, 2)
	limit := 24.0
	reply, txn := mixed.nodes[0].core.DecideOperatorRequest("ops", &operatorapi.Request{Op: operatorapi.OpConfigure, Config: &operatorapi.ConfigRequest{
		Changes: []operatorapi.ConfigChange{{Entry: "team/bound", MaxCPUs: &limit}},
	}})
	if txn != nil || reply.Code != operatorapi.Refused {
		t.Errorf("a change is accepted while a controller of an earlier version is a member: %+v", reply)
	}
}

// TestQueuedTasksRespectLoweredLimit tests that tasks which are queued on machines when the
// limit of their team is lowered start only within the lowered limit, however long they are
// queued, also if their shard moves or a controller that placed them was partitioned.
func TestQueuedTasksRespectLoweredLimit(t *testing.T) {
	for name, fault := range map[string]func(*configuredWorld){
		"none": func(*configuredWorld) {},
		"shards move": func(w *configuredWorld) {
			for i := range 12 {
				w.after(time.Duration(i)*700*time.Millisecond, func() { w.moveRandomShards(8) })
			}
		},
		"one controller is partitioned from its peers": func(w *configuredWorld) { w.nodes[1].partitionFromPeers(25*time.Second, true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				w := newConfiguredWorld(t, 1020+seed, 12)
				w.runTime = func(protocol.TaskID) time.Duration { return 30 * time.Second }
				for range 4 { // fill the machines first
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

// TestRepeatedConfigurationRequestIsIdempotent tests that a request which is repeated after
// another request has changed the same entry again gets its original reply and changes
// nothing.
func TestRepeatedConfigurationRequestIsIdempotent(t *testing.T) {
	t.Parallel()
	w := newConfiguredWorld(t, 1040, 12)
	limit := 24.0
	first := operatorapi.Request{Op: operatorapi.OpConfigure, ID: "first", Config: &operatorapi.ConfigRequest{
		Changes: []operatorapi.ConfigChange{{Entry: "team/bound", MaxCPUs: &limit}},
	}}
	if _, txn := w.nodes[0].core.DecideOperatorRequest("ops", &first); txn == nil || !w.state.Execute(*txn) {
		t.Fatal("the first request was not written") // its reply is lost
	}
	w.run(w.now + time.Second)
	w.requestLimit(1, "bound", 40)
	w.run(w.now + 2*time.Second)
	reply, txn := w.nodes[2].core.DecideOperatorRequest("ops", &first)
	if txn != nil || reply.Code != operatorapi.Done || reply.Config.Revision != 1 {
		t.Errorf("repeated request: reply %+v, transaction %v", reply, txn)
	}
	w.expectRevisionInForce(t, 2)
}
