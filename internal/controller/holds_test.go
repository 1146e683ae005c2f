package controller

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// refuseProvisioning has the cloud refuse all requests of the next plan, and all requests that
// follow a refusal. It returns the kinds that were requested.
func (h *harness) refuseProvisioning() map[binpack.Kind]bool {
	refused := map[binpack.Kind]bool{}
	for actions := h.nextPlan(); len(actions) > 0; {
		var following []message.Action
		for _, a := range actions {
			if provision, ok := a.(message.Provision); ok {
				refused[binpack.Kind{Type: provision.Request.Type, Zone: provision.Request.Zone, Spot: provision.Request.Spot}] = true
				following = append(following, h.step(message.ProvisionDone{Request: provision.Request, Outcome: message.OutcomeRefused})...)
			}
		}
		actions = following
	}
	return refused
}

// TestReservationLeadTimeIgnoresRefusedProvisioning: the time before an occurrence at which its
// resources have to be clear does not depend on the kinds that the cloud has just refused.
// When it did, and the cloud was full, resources that were not clear counted as clear and were
// released shortly afterwards.
func TestReservationLeadTimeIgnoresRefusedProvisioning(t *testing.T) {
	h := newReservationHarness(t)
	before := h.core.ReservationLeadTime(reservationSpec("one", "daily at 04:00"))
	h.putRecord(record.LiveKey("job-1"), protocol.Job{
		ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 100, CPUs: 1, MemoryGB: 1, EstimateS: 10, Spot: true,
	})
	h.nextPlan()
	refused := h.refuseProvisioning()
	for _, zone := range []protocol.Zone{"a", "b"} {
		for _, spot := range []bool{true, false} {
			if kind := (binpack.Kind{Type: "small", Zone: zone, Spot: spot}); !refused[kind] {
				t.Fatalf("%+v was not refused, only %v", kind, refused)
			}
		}
	}
	if again := h.refuseProvisioning(); len(again) > 0 {
		t.Fatalf("%v requested although the cloud has just refused them", again)
	}
	if after := h.core.ReservationLeadTime(reservationSpec("one", "daily at 04:00")); after != before || before <= clusterstate.LeadSlack {
		t.Errorf("the lead time is %v before the refusals and %v after them", before, after)
	}
}

// TestExpectedEndsSurviveNewDispatcher: a new dispatcher can't determine the expected ends and
// the levels of the attempts that it finds on a machine. The wait table keeps the expected ends
// that the previous dispatcher published, and the owner of an attempt announces its level.
// Without both, all holds on the machines of a controller were lost when it stopped.
func TestExpectedEndsSurviveNewDispatcher(t *testing.T) {
	h := newReservationHarness(t)
	h.bringIntoService("vm-1")
	h.core.reservations.HasEntries = true
	machine := h.core.waitTable.Machines["vm-1"]
	task := protocol.TaskID{Job: "job-1"}
	expectedEnd := reservation.After(h.core.WallTime(), time.Minute)
	machine.State.Runs = []reservation.Run{{Task: task, Attempt: 3, Ends: expectedEnd, Level: 0}}
	publishedState := message.MachineState{Machine: "vm-1", Epoch: machine.Epoch, Heard: true, Runs: []reservation.Run{{Task: task, Attempt: 3, Ends: expectedEnd + 1e6, Level: 4}}}
	h.core.waitTable.ApplyMachineState("node-0", h.core.waitTable.Peers["node-0"], message.MachineState{Machine: "vm-1", Epoch: machine.Epoch}) // no heartbeat yet
	h.core.waitTable.ApplyMachineState("node-0", h.core.waitTable.Peers["node-0"], publishedState)
	if run := machine.State.Runs[0]; run.Ends != expectedEnd {
		t.Errorf("ends %d, want %d", run.Ends, expectedEnd)
	}
	h.acceptJob("job-1", "free", 1)
	h.core.jobs.ByID["job-1"].Level = 2
	if level, ok := h.core.announcedLevel("job-1"); !ok || level != 2 {
		t.Errorf("announced at level %d, %v", level, ok)
	}
}
