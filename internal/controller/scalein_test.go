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

// newAutoscalerHarness returns a harness whose core runs the autoscaler and has received the
// cloud's list of machines.
func newAutoscalerHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	h.now += Time(autoscaler.SettleTime)
	h.step(message.MachinesListed{OK: true})
	return h
}

// nextPlan advances the time by the interval between two plans and runs a tick.
func (h *harness) nextPlan() []message.Action {
	h.now += Time(autoscaler.PlanInterval)
	return h.step(message.Tick{})
}

// deletesMachineRecord reports whether a transaction among the actions deletes the record of a
// machine and changes nothing else.
func deletesMachineRecord(actions []message.Action, id protocol.MachineID) bool {
	for _, a := range actions {
		if c, ok := a.(message.Commit); ok && len(c.Transaction.Changes) == 1 && c.Transaction.Changes[0].Delete == record.MachineKey(id) {
			return true
		}
	}
	return false
}

// TestRecordOfTerminatedMachineIsDeletedUntilDone: the record of a machine that the cloud has
// terminated is deleted, the deletion is retried after each failure, and no record is deleted
// before the cloud confirms the termination.
func TestRecordOfTerminatedMachineIsDeletedUntilDone(t *testing.T) {
	h := newAutoscalerHarness(t)
	h.bringIntoService("vm-1")
	if !deletesMachineRecord(h.step(message.TerminateDone{Machines: []protocol.MachineID{"vm-1"}, OK: true}), "vm-1") {
		t.Fatal("the record is not deleted")
	}
	h.step(message.CommitDone{Tag: dispatcher.RemoveTag{Machine: "vm-1"}, Outcome: message.OutcomeRefused})
	if !deletesMachineRecord(h.nextPlan(), "vm-1") {
		t.Error("the deletion is not retried after the key-value store refused it")
	}
	h.bringIntoService("vm-2")
	if deletesMachineRecord(h.step(message.TerminateDone{Machines: []protocol.MachineID{"vm-2"}}), "vm-2") {
		t.Error("the record is deleted although the cloud did not confirm the termination")
	}
}

// scaledInMachines lists the machines that the actions terminate, and those that are draining.
func (h *harness) scaledInMachines(actions []message.Action) (ids []protocol.MachineID) {
	for _, a := range actions {
		if terminate, ok := a.(message.Terminate); ok {
			ids = append(ids, terminate.Machines...)
		}
	}
	for _, id := range h.core.dispatcher.Machines() {
		if state, _ := h.core.dispatcher.PublishedState(id); state.Draining {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestMachineWithoutHeartbeatIsNotIdle: a machine does not count as idle until its dispatcher
// has received a heartbeat from it. After two controllers had crashed, 129 machines of a
// partitioned zone were once terminated together with the tasks that they ran.
func TestMachineWithoutHeartbeatIsNotIdle(t *testing.T) {
	h := newAutoscalerHarness(t)
	h.core.workload.SpotPreemptions = forecast.SpotPreemptions{}
	h.registerMachine("vm-1", 1) // this controller dispatches to it; its worker has sent no heartbeat
	for range 5 {
		if ids := h.scaledInMachines(h.nextPlan()); len(ids) > 0 {
			t.Fatalf("scaled in %v", ids)
		}
	}
	if h.core.waitTable.Machines["vm-1"].State.Heard || h.core.waitTable.Machines["vm-1"].State.IdleS > 0 {
		t.Errorf("state %+v", h.core.waitTable.Machines["vm-1"].State)
	}
	h.sendHeartbeat("vm-1", 1, h.core.View.Term)
	h.nextPlan()
	if !h.core.waitTable.Machines["vm-1"].State.Heard {
		t.Error("the state does not include a heartbeat after one was received")
	}
}

// TestUnregisteredMachineIsTerminatedAfterLeaseAndBoot: a machine whose worker does not register
// is terminated after the duration of a lease and a boot, counted from the end of its own boot.
// A booting machine can't register, and a partition ends before a replacement has booted.
func TestUnregisteredMachineIsTerminatedAfterLeaseAndBoot(t *testing.T) {
	h := newAutoscalerHarness(t)
	planWithListedState := func(state string) []protocol.MachineID {
		listed := protocol.ListedMachine{ID: "vm-7", Type: "small", Zone: "a", State: state, AgeS: 10}
		return h.scaledInMachines(append(h.step(message.MachinesListed{Machines: []protocol.ListedMachine{listed}, OK: true}), h.nextPlan()...))
	}
	terminationDelay := h.core.WorkerLeaseBound() + 8*time.Second // the type boots in 8 s
	for range 20 {
		if ids := planWithListedState("booting"); len(ids) > 0 {
			t.Fatalf("terminated %v while the machine boots", ids)
		}
	}
	runningSince := h.now
	for h.now < runningSince+Time(terminationDelay)-2*Time(autoscaler.PlanInterval) {
		if ids := planWithListedState("running"); len(ids) > 0 {
			t.Fatalf("terminated %v after %v", ids, time.Duration(h.now-runningSince))
		}
	}
	h.now += Time(2 * autoscaler.PlanInterval)
	if ids := append(planWithListedState("running"), planWithListedState("running")...); len(ids) == 0 {
		t.Error("the machine is not terminated although it never registers")
	}
}
