package controller

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/autoscaler"
	"damsonkeel/internal/controller/dispatcher"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// newAutoscalerBench returns a bench whose core is the autoscaler and has the cloud's list.
func newAutoscalerBench(t *testing.T) *bench {
	t.Helper()
	b := newBench(t)
	b.now += Time(autoscaler.SettleTime)
	b.step(message.MachinesListed{OK: true})
	return b
}

// nextPlan lets the time between two plans pass and plays one tick.
func (b *bench) nextPlan() []message.Action {
	b.now += Time(autoscaler.PlanInterval)
	return b.step(message.Tick{})
}

// dropped reports whether a transaction deletes just the record of a machine.
func dropped(actions []message.Action, id protocol.MachineID) bool {
	for _, a := range actions {
		if c, ok := a.(message.Commit); ok && len(c.Transaction.Changes) == 1 && c.Transaction.Changes[0].Delete == record.MachineKey(id) {
			return true
		}
	}
	return false
}

// TestRecordOfTerminatedMachineIsDeletedUntilDone: the record of a machine that the cloud
// has terminated is deleted, again after each failure, and not without the cloud's answer.
func TestRecordOfTerminatedMachineIsDeletedUntilDone(t *testing.T) {
	b := newAutoscalerBench(t)
	b.ready("vm-1")
	if !dropped(b.step(message.TerminateDone{Machines: []protocol.MachineID{"vm-1"}, OK: true}), "vm-1") {
		t.Fatal("not deleted")
	}
	b.step(message.CommitDone{Tag: dispatcher.RemoveTag{Machine: "vm-1"}, Outcome: message.OutcomeRefused})
	if !dropped(b.nextPlan(), "vm-1") {
		t.Error("not deleted again after the key-value store refused")
	}
	b.ready("vm-2")
	if dropped(b.step(message.TerminateDone{Machines: []protocol.MachineID{"vm-2"}}), "vm-2") {
		t.Error("deleted though the cloud did not confirm the termination")
	}
}

// scaledIn lists the machines that the actions terminate, and those that drain.
func (b *bench) scaledIn(actions []message.Action) (ids []protocol.MachineID) {
	for _, a := range actions {
		if d, ok := a.(message.Terminate); ok {
			ids = append(ids, d.Machines...)
		}
	}
	for _, id := range b.c.dispatcher.Machines() {
		if st, _ := b.c.dispatcher.PublishedState(id); st.Draining {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestMachineWithoutHeartbeatIsNotIdle: a machine whose dispatcher has received no
// heartbeat from it yet is not known to be idle. After two controllers had crashed, 129
// machines of a partitioned zone were once terminated with all that they ran.
func TestMachineWithoutHeartbeatIsNotIdle(t *testing.T) {
	b := newAutoscalerBench(t)
	b.c.workload.SpotPreemptions = forecast.SpotPreemptions{}
	b.machine("vm-1", 1) // dispatched to from here, its worker is silent so far
	for range 5 {
		if ids := b.scaledIn(b.nextPlan()); len(ids) > 0 {
			t.Fatalf("scaled in %v", ids)
		}
	}
	if b.c.waitTable.Machines["vm-1"].State.Heard || b.c.waitTable.Machines["vm-1"].State.IdleS > 0 {
		t.Errorf("state %+v", b.c.waitTable.Machines["vm-1"].State)
	}
	b.heartbeat("vm-1", 1, b.c.View.Term)
	b.nextPlan()
	if !b.c.waitTable.Machines["vm-1"].State.Heard {
		t.Error("no inventory after a heartbeat")
	}
}

// TestUnregisteredMachineIsTerminatedAfterLeaseAndBoot: a machine whose worker does not
// register is terminated after a lease and a boot time, counted from when it is up: while
// it boots it can't register, and a partition ends sooner than another machine is up.
func TestUnregisteredMachineIsTerminatedAfterLeaseAndBoot(t *testing.T) {
	b := newAutoscalerBench(t)
	list := func(state string) []protocol.MachineID {
		l := protocol.ListedMachine{ID: "vm-7", Type: "small", Zone: "a", State: state, AgeS: 10}
		return b.scaledIn(append(b.step(message.MachinesListed{Machines: []protocol.ListedMachine{l}, OK: true}), b.nextPlan()...))
	}
	wait := b.c.WorkerLeaseBound() + 8*time.Second // the type boots in 8 s
	for range 20 {
		if ids := list("booting"); len(ids) > 0 {
			t.Fatalf("terminated %v while it boots", ids)
		}
	}
	up := b.now
	for b.now < up+Time(wait)-2*Time(autoscaler.PlanInterval) {
		if ids := list("running"); len(ids) > 0 {
			t.Fatalf("terminated %v after %v", ids, time.Duration(b.now-up))
		}
	}
	b.now += Time(2 * autoscaler.PlanInterval)
	if ids := append(list("running"), list("running")...); len(ids) == 0 {
		t.Error("not terminated though it never registers")
	}
}
