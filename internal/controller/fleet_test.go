package controller

import (
	"math"
	"testing"
	"time"

	"damsonkeel/internal/controller/autoscaler"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/dispatcher"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// planner is a bench whose core has the fleet's role and a first list.
func planner(t *testing.T) *bench {
	b := newBench(t)
	b.now += Time(autoscaler.SettleTime)
	b.step(message.MachinesListed{OK: true})
	return b
}

// relay lets a second pass and plays one tick.
func (b *bench) relay() []message.Action {
	b.now += Time(autoscaler.PlanEvery)
	return b.step(message.Tick{})
}

func dropped(actions []message.Action, id protocol.MachineID) bool {
	for _, a := range actions {
		if c, ok := a.(message.Commit); ok && len(c.Txn.Changes) == 1 && c.Txn.Changes[0].Delete == record.MachineKey(id) {
			return true
		}
	}
	return false
}

// TestReturnedRecordIsDroppedAgain: the record of a machine that the cloud has
// deleted is dropped, again and again until that is done.
func TestReturnedRecordIsDroppedAgain(t *testing.T) {
	b := planner(t)
	b.ready("vm-1")
	if !dropped(b.step(message.TerminateDone{Machines: []protocol.MachineID{"vm-1"}, OK: true}), "vm-1") {
		t.Fatal("not dropped")
	}
	b.step(message.CommitDone{Tag: dispatcher.RemoveTag{Machine: "vm-1"}, Outcome: message.OutcomeRefused})
	if !dropped(b.relay(), "vm-1") {
		t.Error("not dropped again after the state service refused")
	}
	b.ready("vm-2")
	if dropped(b.step(message.TerminateDone{Machines: []protocol.MachineID{"vm-2"}}), "vm-2") {
		t.Error("dropped without the cloud's word")
	}
}

// TestUnansweredRental: a rental without an answer is asked for again by the
// same name, and no name is used twice otherwise.
func TestUnansweredRental(t *testing.T) {
	b := planner(t)
	b.c.Types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, AllowZones: []protocol.Zone{"a"}, Price: 1, SpotPrice: 1}
	b.job("job-1", "free", 9)
	var names []string
	rents := func(actions []message.Action) {
		for _, a := range actions {
			if r, ok := a.(message.Provision); ok {
				names = append(names, r.Request.Name)
			}
		}
	}
	for range 3 {
		rents(b.relay())
	}
	if len(names) != 1 {
		t.Fatalf("rentals %v", names)
	}
	b.step(message.ProvisionDone{Request: b.c.autoscaler.ProvisionCalls[names[0]].Request, Outcome: message.OutcomeUnknown})
	rents(b.relay())
	if len(names) != 2 || names[0] != names[1] {
		t.Fatalf("rentals %v, want the same again", names)
	}
	rents(b.step(message.ProvisionDone{Request: b.c.autoscaler.ProvisionCalls[names[0]].Request, Outcome: message.OutcomeFailed}))
	b.now += Time(time.Minute)
	rents(b.relay())
	if len(names) < 3 || names[2] == names[0] {
		t.Errorf("rentals %v, want a new name", names)
	}
}

// returns lists the machines that actions return, or have drained for that.
func (b *bench) returns(actions []message.Action) (ids []protocol.MachineID) {
	for _, a := range actions {
		if d, ok := a.(message.Terminate); ok {
			ids = append(ids, d.Machines...)
		}
	}
	for _, id := range b.c.dispatcher.Machines() {
		if st, _ := b.c.dispatcher.StateOf(id); st.Draining {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestUnheardIsNotIdle: a machine whose keeper has not heard it yet is not
// known to be idle. After two controllers had crashed 129 machines of a zone
// that was cut off were returned, with all they ran.
func TestUnheardIsNotIdle(t *testing.T) {
	b := planner(t)
	b.c.workload.Spots = forecast.Spot{}
	b.machine("vm-1", 1) // kept here, its worker is silent so far
	for range 5 {
		if ids := b.returns(b.relay()); len(ids) > 0 {
			t.Fatalf("returned %v", ids)
		}
	}
	if b.c.table.Machines["vm-1"].Reported.Heard || b.c.table.Machines["vm-1"].Reported.IdleS > 0 {
		t.Errorf("told %+v", b.c.table.Machines["vm-1"].Reported)
	}
	b.report("vm-1", 1, b.c.View.Term)
	b.relay()
	if !b.c.table.Machines["vm-1"].Reported.Heard {
		t.Error("not heard after a report")
	}
}

// TestOrphans: a machine whose worker does not report is returned when that
// lasts longer than a lease and a boot, counted from when it is up: one that
// boots can't report, and one that is cut off is back sooner than another.
func TestOrphans(t *testing.T) {
	b := planner(t)
	list := func(state string) []protocol.MachineID {
		l := protocol.ListedMachine{ID: "vm-7", Type: "small", Zone: "a", State: state, AgeS: 10}
		return b.returns(append(b.step(message.MachinesListed{Machines: []protocol.ListedMachine{l}, OK: true}), b.relay()...))
	}
	wait := b.c.WorkerLeaseBound() + 8*time.Second // the type boots in 8 s
	for range 20 {
		if ids := list("booting"); len(ids) > 0 {
			t.Fatalf("returned %v while it boots", ids)
		}
	}
	up := b.now
	for b.now < up+Time(wait)-2*Time(autoscaler.PlanEvery) {
		if ids := list("running"); len(ids) > 0 {
			t.Fatalf("returned %v after %v", ids, time.Duration(b.now-up))
		}
	}
	b.now += Time(2 * autoscaler.PlanEvery)
	if ids := append(list("running"), list("running")...); len(ids) == 0 {
		t.Error("not returned though it never reports")
	}
}

// TestJustBegun: a controller that has just begun does not know what is likely
// to come, and keeps idle machines for as long as another would boot; what
// waits is room that can't be spared. Without, the one that came back after a
// zone was cut off returned the zone's machines while 30 jobs waited.
func TestJustBegun(t *testing.T) {
	b := planner(t)
	info := protocol.TypeInfo{Name: "small", CPUs: 4, BootS: 20}
	if s := b.c.autoscaler.IdleTimeout(info, 100); s != info.BootS {
		t.Errorf("kept %v s at first", s)
	}
	b.c.Now += Time(time.Duration(forecast.KnownBoots*info.BootS+1) * time.Second)
	if s := b.c.autoscaler.IdleTimeout(info, 100); s != autoscaler.IdleKnown.Seconds() {
		t.Errorf("kept %v s once arrivals are known", s)
	}
	if s := b.c.autoscaler.IdleTimeout(info, math.Inf(1)); s != info.BootS {
		t.Errorf("kept %v s where nothing comes", s)
	}
	b.ready("vm-1")
	b.c.Live["job-1"] = &clusterstate.LiveJob{Job: protocol.Job{ID: "job-1", Priority: "best_effort", CPUs: 2}}
	b.c.table.Peers["node-0"].Demand = []message.Demand{{Job: "job-1", Unstarted: 9}}
	if spare := b.c.autoscaler.SpareProcessors(); spare != 4-18 {
		t.Errorf("%v processors to spare of 4 while 18 are waited for", spare)
	}
}
