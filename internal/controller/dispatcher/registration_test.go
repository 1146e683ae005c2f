package dispatcher

import (
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// TestUnregisteredMachineStartsNothing checks that nothing is started on a machine before
// its record is durable.
func TestUnregisteredMachineStartsNothing(t *testing.T) {
	f := newFixture(t)
	f.heartbeat(1, 0)
	f.addJob("job-1")
	q := f.queue()
	e := &entry{task: protocol.TaskID{Job: "job-1"}, attempt: 1}
	q.addEntry(e)
	q.waiting = []*entry{e}
	if r := f.heartbeat(1, 1); countStarts(r.Reply.Orders) != 0 {
		t.Fatal("attempt started on a machine without a record")
	}
	f.registerMachine()
	if r := f.heartbeat(1, 1); countStarts(r.Reply.Orders) != 1 {
		t.Fatal("attempt not started on the registered machine")
	}
}

// TestAgentEpochOfPreviousDispatcherIsAdopted checks that an agent epoch that the
// previous dispatcher registered is adopted from its record, whether the record arrives
// before or after the first heartbeat. On a machine whose epoch was not adopted nothing
// was ever started.
func TestAgentEpochOfPreviousDispatcherIsAdopted(t *testing.T) {
	for _, heartbeatFirst := range []bool{false, true} {
		f := newFixture(t)
		f.registerAndSendHeartbeat()
		if heartbeatFirst {
			f.heartbeat(2, 1)
		}
		m := *f.dispatcher.Records["vm-1"]
		m.Record.Session, m.Epoch = 2, 8
		f.dispatcher.Records["vm-1"] = &m
		f.dispatcher.RecordUpdated(&m)
		f.heartbeat(2, 1)
		f.addJob("job-1")
		f.dispatcher.QueuePlacements("node-0", &message.Place{Term: 1, Tasks: []message.Placement{{Task: protocol.TaskID{Job: "job-1"}, Attempt: 1, Machine: "vm-1", Epoch: 8, CPUs: 1, GB: 1}}})
		if r := f.heartbeat(2, 1); countStarts(r.Reply.Orders) != 1 {
			t.Errorf("heartbeat first %v: attempt not started", heartbeatFirst)
		}
	}
}
