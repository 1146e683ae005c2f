package dispatcher

import (
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// TestUnregisteredMachineStartsNothing: nothing starts before the machine's record is
// durable.
func TestUnregisteredMachineStartsNothing(t *testing.T) {
	b := newBench(t)
	b.heartbeat(1, 0)
	b.job("job-1")
	q := b.queue()
	e := &entry{task: protocol.TaskID{Job: "job-1"}, attempt: 1}
	q.addEntry(e)
	q.waiting = []*entry{e}
	if r := b.heartbeat(1, 1); starts(r.Reply.Orders) != 0 {
		t.Fatal("started on a machine without a record")
	}
	b.machine()
	if r := b.heartbeat(1, 1); starts(r.Reply.Orders) != 1 {
		t.Fatal("not started once registered")
	}
}

// TestRegisteredByTheKeeperBefore: an agent epoch that the previous dispatcher has
// registered is known here by its record, before the first heartbeat or after. On one that
// was not known nothing was started for good.
func TestRegisteredByTheKeeperBefore(t *testing.T) {
	for _, heartbeatFirst := range []bool{false, true} {
		b := newBench(t)
		b.ready()
		if heartbeatFirst {
			b.heartbeat(2, 1)
		}
		m := *b.dispatcher.Records["vm-1"]
		m.Record.Session, m.Epoch = 2, 8
		b.dispatcher.Records["vm-1"] = &m
		b.dispatcher.RecordUpdated(&m)
		b.heartbeat(2, 1)
		b.job("job-1")
		b.dispatcher.Place("node-0", &message.Place{Term: 1, Tasks: []message.Placement{{Task: protocol.TaskID{Job: "job-1"}, Attempt: 1, Machine: "vm-1", Epoch: 8, CPUs: 1, GB: 1}}})
		if r := b.heartbeat(2, 1); starts(r.Reply.Orders) != 1 {
			t.Errorf("heartbeat first %v: nothing is started", heartbeatFirst)
		}
	}
}
