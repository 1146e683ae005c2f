package simulator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// startWithin is how long after its command a task may come onto its machine: its
// image takes a second, messages a part of one.
const startWithin = 1500 * time.Millisecond

// configured is a world whose configuration changes while it runs. Starts are held
// against the limits that were in force, by what workers see.
type configuredWorld struct {
	*world
	commits map[dynamicconfig.Revision]time.Duration
	limits  map[protocol.Team][]limitSince
	scanned int // changes of the state service
	// worst is the longest that a controller which neither restarted nor stood still took
	// to apply a revision.
	worst     time.Duration
	requests  int
	unsettled int
}

// limitSince is a limit and when it came into force.
type limitSince struct {
	at   time.Duration
	cpus float64
}

// newConfigured is a busy world of controllers that follow the configuration, but for
// some of an earlier version, with two teams that are always at their limits of 60
// processors.
func newConfigured(t *testing.T, seed uint64, controllers, machines int, older ...int) *configuredWorld {
	s := fake.Settings()
	s.Site.Count = controllers
	s.Site.Teams = []config.Team{{Name: "free"}, {Name: "bound", CPUs: 8, MaxCPUs: 60}, {Name: "other", CPUs: 8, MaxCPUs: 60}}
	w := &configuredWorld{
		world: newWorld(t.Fatalf, seed, s, machines, machines), commits: map[dynamicconfig.Revision]time.Duration{},
		limits: map[protocol.Team][]limitSince{"bound": {{0, 60}}, "other": {{0, 60}}},
	}
	w.operator.OperatorKeys = "keys"
	w.layout = record.LayoutConfiguration
	for i, n := range w.nodes {
		if !slices.Contains(older, i) {
			n.layout = w.layout
		}
	}
	w.runTime = func(protocol.TaskID) time.Duration { return time.Duration(8000+w.rng.IntN(8000)) * time.Millisecond }
	w.teamLimit = w.limitInForce
	w.onOrders = w.checkOrders
	w.onConfiguration = func(n *node, e *dynamicconfig.Effective) {
		w.scan()
		if at, known := w.commits[e.Revision]; known && n.startedAt < at && n.pausedUntil < at {
			w.worst = max(w.worst, w.now-at)
		}
	}
	w.run(3 * time.Second)
	w.busy(12 * time.Second)
	return w
}

// busy keeps both teams at their limits for a while, beside other work.
func (w *configuredWorld) busy(d time.Duration) {
	for end := w.now + d; w.now < end; {
		for _, team := range []protocol.Team{"bound", "other", "free"} {
			w.submit(protocol.Job{Class: "array", Team: team, Kind: protocol.KindJobArray, Priority: "standard", Tasks: 10, CPUs: 1, EstimateS: 12, Spot: true})
		}
		w.run(w.now + time.Second)
	}
}

// scan notes the revisions that the state service has taken, and their limits.
func (w *configuredWorld) scan() {
	for ; w.scanned < w.state.Changes(); w.scanned++ {
		e := w.state.Change(w.scanned)
		at := w.now
		if i := w.scanned - w.state.Before; i < len(w.changeTimes) {
			at = w.changeTimes[i]
		}
		followed, _ := record.ParseFollowedKey(e.Put)
		var head record.Configuration
		var entry record.ConfigurationEntry
		switch team, isTeam := record.TeamOf(followed.ConfigurationEntry); {
		case followed.Configuration && protocol.Decode(e.Value, &head) == nil:
			w.commits[head.Revision] = at
		case isTeam && protocol.Decode(e.Value, &entry) == nil && entry.Team != nil:
			w.limits[team] = append(w.limits[team], limitSince{at, entry.Team.MaxCPUs})
		}
	}
}

// limitInForce is the highest limit of a team that may have been acted by for a task
// that comes onto its machine now.
func (w *configuredWorld) limitInForce(team protocol.Team) float64 {
	w.scan()
	since := w.now - config.ConfiguredWithin - startWithin
	most := 0.0
	for i, l := range w.limits[team] {
		if i+1 < len(w.limits[team]) && w.limits[team][i+1].at < since {
			continue // replaced before that
		}
		most = max(most, l.cpus)
	}
	return most
}

// checkOrders: who sends commands acts by no revision that was replaced too long ago.
func (w *configuredWorld) checkOrders(n *node, orders []protocol.Order) {
	w.scan()
	acts := n.core.ConfigurationInForce().Revision
	if at, replaced := w.commits[acts+1]; replaced && w.now-at > config.ConfiguredWithin && len(orders) > 0 {
		w.fail("%v %s acts by revision %d, replaced %v ago", w.now, n.name, acts, w.now-at)
	}
}

// put has an operator ask for a change, first at one controller, until it is settled:
// as the command does, with one id. Done hears how it ended.
func (w *configuredWorld) put(first int, done func(operatorapi.Reply), changes ...operatorapi.ConfigChange) {
	w.requests++
	w.unsettled++
	r := operatorapi.Request{Op: operatorapi.OpConfigure, ID: fmt.Sprint("request-", w.requests), Config: &operatorapi.ConfigRequest{Changes: changes}}
	settled := false
	var try func(at int)
	try = func(at int) {
		n := w.nodes[at%len(w.nodes)]
		turn, next := 0, func(at int, after time.Duration) { w.after(after, func() { try(at) }) }
		if settled {
			return
		}
		if n.core == nil || w.now < n.pausedUntil {
			next(at+1, 300*time.Millisecond)
			return
		}
		settle := func(reply operatorapi.Reply) {
			if !settled {
				settled = true
				w.unsettled--
				done(reply)
			}
		}
		request := r
		reply, txn := n.core.Decide("ops", &request)
		switch {
		case txn == nil && reply.Code == operatorapi.Later:
			next(at+1, 300*time.Millisecond)
			return
		case txn == nil:
			settle(reply)
			return
		}
		n.transact(*txn, func(out message.Outcome, _ protocol.Revision) {
			if turn++; out == message.OutcomeDone {
				settle(reply)
				return
			}
			if turn == 1 {
				next(at, 100*time.Millisecond)
			}
		})
		w.after(4*time.Second, func() {
			if turn == 0 { // the controller has ended, or stands still
				turn++
				try(at + 1)
			}
		})
	}
	try(first)
}

// limit changes a team's limit.
func (w *configuredWorld) limit(first int, team string, cpus float64) {
	w.put(first, func(reply operatorapi.Reply) {
		if reply.Code != operatorapi.Done {
			w.fail("%v limit of %s to %v: %+v", w.now, team, cpus, reply)
		}
	}, operatorapi.ConfigChange{Entry: record.NewEntryID(record.EntryTeam, team), MaxCPUs: &cpus})
}

// allActBy fails unless every controller that is there acts by the last revision, and
// each request was carried out once.
func (w *configuredWorld) allActBy(t *testing.T, revision dynamicconfig.Revision) {
	t.Helper()
	w.scan()
	if len(w.commits) != int(revision) || w.unsettled > 0 {
		t.Errorf("%d revisions, want %d; %d requests are not settled", len(w.commits), revision, w.unsettled)
	}
	for _, n := range w.nodes {
		if n.core == nil {
			continue
		}
		if got := n.core.ConfigurationInForce().Revision; got != revision {
			t.Errorf("%s acts by revision %d, want %d", n.name, got, revision)
		}
	}
}

// uses is what a team's tasks take.
func (w *configuredWorld) uses(team protocol.Team) (cpus float64) {
	for task := range w.onMachine {
		if j := w.jobs[task.Job]; j.Team == team {
			cpus += j.CPUs
		}
	}
	return cpus
}

// TestLimitLoweredInTrouble: a team that is at its limit has it lowered while each
// failure that it has to stand goes on. No start puts the team over a limit that was
// in force, the request is carried out once, and in the end all act by it.
func TestLimitLoweredInTrouble(t *testing.T) {
	for name, trouble := range map[string]func(w *configuredWorld, first *node){
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
				w := newConfigured(t, 900+seed, 3, 40)
				if used := w.uses("bound"); used < 50 {
					t.Fatalf("the team uses %v processors of 60", used)
				}
				w.limit(0, "bound", 24)
				w.after(time.Duration(seed)*10*time.Millisecond, func() { trouble(w, w.nodes[0]) })
				w.busy(75 * time.Second)
				w.run(w.now + 5*time.Second)
				w.allActBy(t, 1)
				if used := w.uses("bound"); used > 24 {
					t.Errorf("the team uses %v processors of 24 in the end", used)
				}
			}
		})
	}
}

// TestChangerEndsAtEachStep: the controller that makes a change ends some milliseconds
// after it was asked. The same request, put to others, is carried out once.
func TestChangerEndsAtEachStep(t *testing.T) {
	t.Parallel()
	for at := time.Duration(0); at < 200*time.Millisecond; at += 10 * time.Millisecond {
		w := newConfigured(t, 930+uint64(at/time.Millisecond), 3, 12)
		w.limit(0, "bound", 24)
		w.after(at, func() { w.nodes[0].crash() })
		w.run(w.now + 30*time.Second)
		w.allActBy(t, 1)
	}
}

// TestTwoChangesAtOnce: two operators change the same team at two controllers in the
// same moment. One after the other is carried out, and all end with the same.
func TestTwoChangesAtOnce(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		w := newConfigured(t, 960+seed, 3, 12)
		w.limit(0, "bound", 30)
		w.limit(1, "bound", 40)
		w.limit(2, "other", 50)
		w.run(w.now + 10*time.Second)
		w.allActBy(t, 3)
		first, _ := w.nodes[0].core.ConfigurationInForce().Team("bound")
		for _, n := range w.nodes {
			if team, _ := n.core.ConfigurationInForce().Team("bound"); team != first {
				t.Errorf("%s: %+v, the first controller has %+v", n.name, team, first)
			}
		}
	}
}

// TestManyChangesUnderLoad: 200 changes within a minute, under full load, while a
// controller stands still and another one restarts. Who can follow acts by each within
// seconds.
func TestManyChangesUnderLoad(t *testing.T) {
	t.Parallel()
	w := newConfigured(t, 990, 3, 40)
	for i := range 200 {
		w.after(time.Duration(i)*300*time.Millisecond, func() {
			w.limit(i%3, []string{"bound", "other"}[i%2], float64(40+w.rng.IntN(20)))
		})
	}
	w.after(20*time.Second, func() { w.nodes[1].pausedUntil = w.now + 15*time.Second })
	w.after(45*time.Second, func() { w.nodes[2].crashFor(time.Second) })
	w.busy(70 * time.Second)
	w.run(w.now + 20*time.Second)
	w.scan()
	if w.unsettled > 0 || len(w.commits) < 150 { // now and then a limit is what it was
		t.Errorf("%d requests are not settled, %d revisions", w.unsettled, len(w.commits))
	}
	w.allActBy(t, dynamicconfig.Revision(len(w.commits)))
	if w.worst == 0 || w.worst > 3*time.Second {
		t.Errorf("a controller took %v to apply a revision", w.worst)
	}
}

// TestClosedPlaces: nothing is started in a zone that is closed, what waits there goes
// elsewhere, and it is used again when it is open.
func TestClosedPlaces(t *testing.T) {
	t.Parallel()
	w := newConfigured(t, 995, 3, 40)
	closed, starts := false, 0
	w.onTaskStarted = func(id protocol.MachineID, _ protocol.TaskID) {
		if w.workers[id].Zone == "a" {
			starts++
		}
	}
	set := func(to bool) {
		w.put(0, func(reply operatorapi.Reply) {
			if reply.Code != operatorapi.Done {
				t.Errorf("%+v", reply)
			}
		}, operatorapi.ConfigChange{Entry: "zone/a", Closed: &to})
		closed = to
	}
	set(true)
	w.busy(5 * time.Second)
	starts = 0
	w.busy(20 * time.Second)
	if closed && starts > 0 {
		t.Errorf("%d tasks started in a closed zone", starts)
	}
	set(false)
	w.busy(20 * time.Second)
	if starts == 0 {
		t.Error("nothing starts in the zone after it was opened")
	}
}

// TestOlderControllers: changes are refused while a controller takes part that doesn't
// follow them, and one that comes later is kept from acting.
func TestOlderControllers(t *testing.T) {
	t.Parallel()
	w := newConfigured(t, 996, 3, 12)
	if layout := w.nodes[0].core.View.Layout; layout != record.LayoutConfiguration {
		t.Fatalf("layout %d", layout)
	}
	w.limit(0, "bound", 24)
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

	mixed := newConfigured(t, 997, 3, 12, 2)
	limit := 24.0
	reply, txn := mixed.nodes[0].core.Decide("ops", &operatorapi.Request{Op: operatorapi.OpConfigure, Config: &operatorapi.ConfigRequest{
		Changes: []operatorapi.ConfigChange{{Entry: "team/bound", MaxCPUs: &limit}},
	}})
	if txn != nil || reply.Code != operatorapi.Refused {
		t.Errorf("a change is taken beside an older controller: %+v", reply)
	}
}

// TestQueuedBeforeLowered: tasks that wait in machines' queues when their team's limit
// is lowered are not started by the limit that they were placed by, however long they
// wait, also where their share moves or a controller that placed them was apart.
func TestQueuedBeforeLowered(t *testing.T) {
	for name, trouble := range map[string]func(*configuredWorld){
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
				w := newConfigured(t, 1020+seed, 3, 12)
				w.runTime = func(protocol.TaskID) time.Duration { return 30 * time.Second }
				for range 4 { // what fills the machines comes first
					w.submit(protocol.Job{Class: "array", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 20, CPUs: 1, EstimateS: 20, Spot: true})
				}
				w.run(w.now + 2*time.Second)
				w.submit(protocol.Job{Class: "array", Team: "bound", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 60, CPUs: 1, EstimateS: 20, Spot: true})
				w.run(w.now + 2*time.Second)
				w.limit(0, "bound", 12)
				w.after(100*time.Millisecond, func() { trouble(w) })
				w.run(w.now + 120*time.Second)
				w.allActBy(t, 1)
			}
		})
	}
}

// TestRepeatedRequestUndoesNothing: a request that is repeated after another one has
// changed the same again gets its first answer, and changes nothing.
func TestRepeatedRequestUndoesNothing(t *testing.T) {
	t.Parallel()
	w := newConfigured(t, 1040, 3, 12)
	limit := 24.0
	first := operatorapi.Request{Op: operatorapi.OpConfigure, ID: "first", Config: &operatorapi.ConfigRequest{
		Changes: []operatorapi.ConfigChange{{Entry: "team/bound", MaxCPUs: &limit}},
	}}
	if _, txn := w.nodes[0].core.Decide("ops", &first); txn == nil || !w.state.Txn(*txn) {
		t.Fatal("not written") // its answer is lost
	}
	w.run(w.now + time.Second)
	w.limit(1, "bound", 40)
	w.run(w.now + 2*time.Second)
	reply, txn := w.nodes[2].core.Decide("ops", &first)
	if txn != nil || reply.Code != operatorapi.Done || reply.Config.Revision != 1 {
		t.Errorf("the repetition: %+v, %v", reply, txn)
	}
	w.allActBy(t, 2)
}
