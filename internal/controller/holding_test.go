package controller

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/autoscaler"

	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/protocol"
)

// TestLeadIsSteady: how long before its time room has to be clear does not
// depend on what the cloud has just refused. It did: with a full cloud room was
// thought clear that was not, and let go a moment later.
func TestLeadIsSteady(t *testing.T) {
	b := promising(t)
	before := b.c.NoticeBefore(reserve("one", "daily at 04:00", 2))
	for _, z := range []protocol.Zone{"a", "b"} {
		for _, spot := range []bool{true, false} {
			b.c.autoscaler.Refusals[binpack.Kind{Type: "small", Zone: z, Spot: spot}] = autoscaler.Refusal{Until: b.c.After(time.Minute)}
		}
	}
	if after := b.c.NoticeBefore(reserve("one", "daily at 04:00", 2)); after != before || before <= clusterstate.LeadSlack {
		t.Errorf("%v before, %v after", before, after)
	}
}

// TestTakenOverRoom: what the next keeper of a machine finds there it can't judge
// by itself: how far it is the table still knows from the keeper before, and how
// urgent it is its owner says. Without either, each controller that ended lost all
// that was held on its machines.
func TestTakenOverRoom(t *testing.T) {
	b := promising(t)
	b.ready("vm-1")
	b.c.reservations.Any = true
	m := b.c.table.Machines["vm-1"]
	task := protocol.TaskID{Job: "job-1"}
	soon := reservation.After(b.c.WallTime(), time.Minute)
	m.Reported.Runs = []reservation.Run{{Task: task, Attempt: 3, Ends: soon, Level: 0}}
	told := message.MachineState{Machine: "vm-1", Epoch: m.Epoch, Heard: true, Runs: []reservation.Run{{Task: task, Attempt: 3, Ends: soon + 1e6, Level: 4}}}
	b.c.table.ApplyMachineState("node-0", b.c.table.Peers["node-0"], message.MachineState{Machine: "vm-1", Epoch: m.Epoch}) // not heard yet
	b.c.table.ApplyMachineState("node-0", b.c.table.Peers["node-0"], told)
	if r := m.Reported.Runs[0]; r.Ends != soon {
		t.Errorf("ends %d, want %d", r.Ends, soon)
	}
	b.job("job-1", "free", 1)
	b.c.jobs.ByID["job-1"].Level = 2
	if l, ok := b.c.announcedLevel("job-1"); !ok || l != 2 {
		t.Errorf("told at level %d, %v", l, ok)
	}
}

// TestRefusedIsNotClosed: a machine that refused a placement is not placed on
// until its keeper says why, but room stays held there. It was let go, and
// filled by others within a second.
func TestRefusedIsNotClosed(t *testing.T) {
	b := promising(t)
	b.ready("vm-1")
	m := b.c.table.Machines["vm-1"]
	m.Refused = true
	if b.c.table.Usable(m) || !m.Open() || len(b.c.planner.ReservableMachines()) != 1 {
		t.Errorf("usable %v, open %v, %d machines to hold room on", b.c.table.Usable(m), m.Open(), len(b.c.planner.ReservableMachines()))
	}
}
