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

// refuseProvisioning has the cloud refuse all requests of the next plan, and of those that
// its answers bring. It returns the kinds that were requested.
func (b *bench) refuseProvisioning() map[binpack.Kind]bool {
	refused := map[binpack.Kind]bool{}
	for actions := b.nextPlan(); len(actions) > 0; {
		var next []message.Action
		for _, a := range actions {
			if p, ok := a.(message.Provision); ok {
				refused[binpack.Kind{Type: p.Request.Type, Zone: p.Request.Zone, Spot: p.Request.Spot}] = true
				next = append(next, b.step(message.ProvisionDone{Request: p.Request, Outcome: message.OutcomeRefused})...)
			}
		}
		actions = next
	}
	return refused
}

// TestNoticeDoesNotDependOnRefusals: how long before an occurrence its resources have to
// be clear does not depend on which kinds the cloud has just refused. It did: with a full
// cloud, resources counted as clear that were not, and were released a moment later.
func TestNoticeDoesNotDependOnRefusals(t *testing.T) {
	b := newReservationBench(t)
	before := b.c.ReservationLeadTime(reserve("one", "daily at 04:00"))
	b.put(record.LiveKey("job-1"), protocol.Job{
		ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 100, CPUs: 1, MemoryGB: 1, EstimateS: 10, Spot: true,
	})
	b.nextPlan()
	refused := b.refuseProvisioning()
	for _, zone := range []protocol.Zone{"a", "b"} {
		for _, spot := range []bool{true, false} {
			if kind := (binpack.Kind{Type: "small", Zone: zone, Spot: spot}); !refused[kind] {
				t.Fatalf("%+v was not refused, only %v", kind, refused)
			}
		}
	}
	if again := b.refuseProvisioning(); len(again) > 0 {
		t.Fatalf("%v requested though the cloud has just refused them", again)
	}
	if after := b.c.ReservationLeadTime(reserve("one", "daily at 04:00")); after != before || before <= clusterstate.LeadSlack {
		t.Errorf("%v before, %v after", before, after)
	}
}

// TestExpectedEndsSurviveNewDispatcher: a new dispatcher can't judge the attempts that it
// finds on a machine. When they are expected to end the table still knows from the
// dispatcher before, and their level their owner announces. Without either, each
// controller that ended lost all holds on its machines.
func TestExpectedEndsSurviveNewDispatcher(t *testing.T) {
	b := newReservationBench(t)
	b.ready("vm-1")
	b.c.reservations.HasEntries = true
	m := b.c.waitTable.Machines["vm-1"]
	task := protocol.TaskID{Job: "job-1"}
	soon := reservation.After(b.c.WallTime(), time.Minute)
	m.State.Runs = []reservation.Run{{Task: task, Attempt: 3, Ends: soon, Level: 0}}
	found := message.MachineState{Machine: "vm-1", Epoch: m.Epoch, Heard: true, Runs: []reservation.Run{{Task: task, Attempt: 3, Ends: soon + 1e6, Level: 4}}}
	b.c.waitTable.ApplyMachineState("node-0", b.c.waitTable.Peers["node-0"], message.MachineState{Machine: "vm-1", Epoch: m.Epoch}) // no heartbeat yet
	b.c.waitTable.ApplyMachineState("node-0", b.c.waitTable.Peers["node-0"], found)
	if r := m.State.Runs[0]; r.Ends != soon {
		t.Errorf("ends %d, want %d", r.Ends, soon)
	}
	b.job("job-1", "free", 1)
	b.c.jobs.ByID["job-1"].Level = 2
	if l, ok := b.c.announcedLevel("job-1"); !ok || l != 2 {
		t.Errorf("announced at level %d, %v", l, ok)
	}
}
