package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"damsonkeel/internal/controller/membership"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/workerregistry"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// recorder is a single core that records machines in blocks, with a key-value store whose
// changes of machines' records it counts.
type recorder struct {
	*bench
	state    *fake.KeyValueStore
	followed int
	changes  int
	outcome  func(message.Commit) message.Outcome // of a transaction; nil: executed
	late     []protocol.Transaction
}

// newRecorder makes a core that is a member and uses blocks.
func newRecorder(tb testing.TB) *recorder {
	r := &recorder{bench: newBench(tb), state: fake.NewKeyValueStore()}
	r.c.reset()
	lease := r.state.GrantLease(0, time.Hour)
	r.step(message.Snapshot{Session: lease})
	r.step(message.LeaseExtended{Until: Time(time.Hour)})
	r.state.Execute(protocol.Transaction{Changes: []protocol.Change{{Put: record.NodeKey("node-0"), Value: record.Node{Session: lease, Layout: record.LayoutBlocks}}}})
	r.settle(5)
	if !r.c.Member() || !r.c.UsesBlocks() {
		tb.Fatalf("view %+v", r.c.View)
	}
	return r
}

// settle runs so many ticks with the changes that follow from them.
func (r *recorder) settle(ticks int) {
	for range ticks {
		r.carry(r.step(message.Tick{}))
		for r.followed < len(r.state.Log) {
			ev := r.state.Log[r.followed]
			r.followed++
			if strings.HasPrefix(ev.Put+ev.Delete, record.FollowedPrefix) {
				r.carry(r.step(message.RecordChanged{Event: ev}))
			}
		}
	}
}

// carry executes the transactions among the actions, with the outcomes that the test sets.
func (r *recorder) carry(actions []message.Action) {
	for _, a := range actions {
		c, ok := a.(message.Commit)
		if !ok {
			continue
		}
		if _, registration := c.Tag.(workerregistry.Tag); registration {
			r.changes += len(c.Transaction.Changes)
		}
		out := message.OutcomeDone
		if r.outcome != nil {
			out = r.outcome(c)
		}
		switch {
		case out == message.OutcomeUnknown:
			r.late = append(r.late, c.Transaction)
		case out == message.OutcomeDone && !r.state.Execute(c.Transaction):
			out = message.OutcomeFailed
		}
		r.carry(r.step(message.CommitDone{Tag: c.Tag, Outcome: out}))
	}
}

// wave has so many workers send their first heartbeat, or one with a later agent epoch, all
// at once.
func (r *recorder) wave(machines int, session protocol.AgentEpoch) {
	for i := range machines {
		r.seq++
		r.now++
		r.carry(r.c.Step(r.now, message.HeartbeatReceived{Heartbeat: protocol.Heartbeat{
			Machine: protocol.MachineID(fmt.Sprintf("vm-%06d", i)), Address: "10.1.0.1:9000", Type: "small", Zone: "a", AgentEpoch: session, Seq: r.seq,
		}}))
	}
}

// registered counts the machines that are registered with an agent epoch.
func (r *recorder) registered(session protocol.AgentEpoch) int {
	n := 0
	for _, m := range r.c.waitTable.Machines {
		if m.Record.Session == session {
			n++
		}
	}
	return n
}

// TestWaveCostsFewChanges: 1,300 workers that register at once, and that come back with a
// later agent epoch at once, cost a change of the key-value store for some 50 of them. One
// record for each took 1,300.
func TestWaveCostsFewChanges(t *testing.T) {
	const machines = 1300
	r := newRecorder(t)
	for session := protocol.AgentEpoch(1); session <= 2; session++ {
		r.changes = 0
		r.wave(machines, session)
		r.settle(60)
		if n := r.registered(session); n != machines {
			t.Fatalf("session %d: %d of %d registered", session, n, machines)
		}
		if r.changes > 2*machines/64+10 {
			t.Errorf("session %d: %d changes for %d machines", session, r.changes, machines)
		}
		t.Logf("session %d: %d changes", session, r.changes)
	}
}

// TestLateWritePutsNoMachineIntoTwoBlocks: a write of blocks without an answer, executed
// much later, puts no machine into two blocks and brings back no record.
func TestLateWritePutsNoMachineIntoTwoBlocks(t *testing.T) {
	r := newRecorder(t)
	r.wave(40, 1)
	r.settle(10)
	lost := 2
	r.outcome = func(c message.Commit) message.Outcome {
		if _, registration := c.Tag.(workerregistry.Tag); registration && lost > 0 {
			lost--
			return message.OutcomeUnknown
		}
		return message.OutcomeDone
	}
	r.wave(100, 1) // 60 new ones
	r.settle(3)
	r.wave(20, 2)
	r.settle(30)
	if n := r.registered(1) + r.registered(2); n != 100 || r.registered(2) != 20 {
		t.Fatalf("%d registered, %d with the later session", n, r.registered(2))
	}
	if len(r.late) != 2 {
		t.Fatalf("%d writes without an answer", len(r.late))
	}
	for _, txn := range r.late {
		r.state.Execute(txn)
	}
	r.settle(5)
	in := map[protocol.MachineID]string{}
	for _, it := range r.state.List(record.BlockKey("")) {
		var b record.Block
		if err := protocol.Decode(it.Value, &b); err != nil {
			t.Fatal(err)
		}
		for _, e := range b.Machines {
			if other, twice := in[e.ID]; twice {
				t.Errorf("%s is in %s and in %s", e.ID, other, it.Key)
			}
			in[e.ID] = it.Key
		}
	}
	if len(in) != 100 || r.registered(2) != 20 {
		t.Errorf("%d machines in blocks, %d with the later session", len(in), r.registered(2))
	}
}

// TestSilentMachineLeavesItsBlock: a machine silent for longer than its lease
// is removed from its block; the separate record of a machine that an earlier version
// wrote is deleted.
func TestSilentMachineLeavesItsBlock(t *testing.T) {
	r := newRecorder(t)
	rec := record.Machine{Session: 1, Address: "x", Type: "small", Zone: "a"}
	r.state.Execute(protocol.Transaction{Changes: []protocol.Change{{Put: record.MachineKey("vm-old"), Value: rec}}})
	r.state.Execute(protocol.Transaction{Changes: []protocol.Change{{Put: record.MachineKey("vm-000000"), Value: rec}}})
	r.settle(2)
	epoch := r.c.waitTable.Machines["vm-000000"].Epoch
	r.wave(1, 2) // comes back with a later session: moves into a block
	r.settle(5)
	inBlock := r.c.registrar.InBlock("vm-000000")
	if m := r.c.waitTable.Machines["vm-000000"]; m == nil || !inBlock || m.Epoch <= epoch {
		t.Fatalf("not moved into a block: %+v", m)
	}
	if _, there := r.state.Get(record.MachineKey("vm-000000")); there {
		t.Error("its own record is still there")
	}
	r.now += Time(r.c.WorkerLeaseBound())
	r.settle(60)
	if len(r.c.waitTable.Machines) != 0 || r.c.registrar.BlockCount() != 0 || len(r.state.List(record.FollowedPrefix)) != 2 {
		t.Errorf("%d machines, %d blocks, records %v", len(r.c.waitTable.Machines), r.c.registrar.BlockCount(), r.state.List(record.FollowedPrefix))
	}
}

// TestOlderVersionStaysOut: while one member does not know blocks, machines have
// records of their own; once blocks are in use, a controller that does not know
// them is not taken into the view, and could not read it.
func TestOlderVersionStaysOut(t *testing.T) {
	b := newBench(t)
	// node records a controller, and returns the view that is written for it.
	node := func(name protocol.NodeName, session protocol.LeaseID, l record.Layout) (v record.View) {
		for _, a := range append(b.put(record.NodeKey(name), record.Node{Session: session, Layout: l}), b.step(message.Tick{})...) {
			if c, ok := a.(message.Commit); ok && c.Tag == (membership.ViewTag{}) {
				v = c.Transaction.Changes[0].Value.(record.View)
			}
		}
		b.step(message.CommitDone{Tag: membership.ViewTag{}, Outcome: message.OutcomeDone})
		return v
	}
	node("node-0", 100, record.LayoutBlocks)
	b.view(2, "node-0")
	v := node("node-1", 101, 0)
	if len(v.Members) != 2 || v.Layout != record.LayoutSingle {
		t.Fatalf("view %+v", v)
	}
	b.put(record.ViewKey, v)
	node("node-0", 100, record.LayoutBlocks)
	if v = node("node-1", 201, record.LayoutBlocks); v.Members["node-1"] != 201 || v.Layout != record.LayoutBlocks {
		t.Fatalf("view %+v", v)
	}
	b.put(record.ViewKey, v)
	raw, err := protocol.Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	var older struct {
		Term    protocol.Term                          `cbor:"term"`
		Members map[protocol.NodeName]protocol.LeaseID `cbor:"members"`
	}
	if err := protocol.Decode(raw, &older); err == nil {
		t.Error("an older version can read a view of blocks")
	}
	if v = node("node-1", 301, record.LayoutSingle); len(v.Members) != 1 || v.Layout != record.LayoutBlocks {
		t.Errorf("view %+v", v)
	}
}
