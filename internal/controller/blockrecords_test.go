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

// blockHarness runs a single core that registers machines in block records, with a key-value
// store. It counts the changes of machine registrations.
type blockHarness struct {
	*harness
	store           *fake.KeyValueStore
	deliveredEvents int                                  // events of the store's log that the core has received
	recordChanges   int                                  // changes of machine registrations
	chooseOutcome   func(message.Commit) message.Outcome // chooses the outcome of a transaction; nil: all are executed
	unanswered      []protocol.Transaction               // transactions with an unknown outcome, not executed yet
}

// newBlockHarness returns a harness whose core is a member and uses blocks.
func newBlockHarness(tb testing.TB) *blockHarness {
	h := &blockHarness{harness: newHarness(tb), store: fake.NewKeyValueStore()}
	h.core.reset()
	lease := h.store.GrantLease(0, time.Hour)
	h.step(message.Snapshot{Session: lease})
	h.step(message.LeaseExtended{Until: Time(time.Hour)})
	h.store.Execute(protocol.Transaction{Changes: []protocol.Change{{Put: record.NodeKey("node-0"), Value: record.Node{Session: lease, Layout: record.LayoutBlocks}}}})
	h.runTicks(5)
	if !h.core.Member() || !h.core.UsesBlocks() {
		tb.Fatalf("view %+v", h.core.View)
	}
	return h
}

// runTicks runs the given number of ticks, executes the resulting transactions and delivers
// the changes of followed records.
func (h *blockHarness) runTicks(ticks int) {
	for range ticks {
		h.executeCommits(h.step(message.Tick{}))
		for h.deliveredEvents < len(h.store.Log) {
			event := h.store.Log[h.deliveredEvents]
			h.deliveredEvents++
			if strings.HasPrefix(event.Put+event.Delete, record.FollowedPrefix) {
				h.executeCommits(h.step(message.RecordChanged{Event: event}))
			}
		}
	}
}

// executeCommits executes the transactions among the actions, with the outcomes that
// chooseOutcome returns. It keeps those with an unknown outcome in unanswered.
func (h *blockHarness) executeCommits(actions []message.Action) {
	for _, a := range actions {
		commit, ok := a.(message.Commit)
		if !ok {
			continue
		}
		if _, registration := commit.Tag.(workerregistry.Tag); registration {
			h.recordChanges += len(commit.Transaction.Changes)
		}
		outcome := message.OutcomeDone
		if h.chooseOutcome != nil {
			outcome = h.chooseOutcome(commit)
		}
		switch {
		case outcome == message.OutcomeUnknown:
			h.unanswered = append(h.unanswered, commit.Transaction)
		case outcome == message.OutcomeDone && !h.store.Execute(commit.Transaction):
			outcome = message.OutcomeFailed
		}
		h.executeCommits(h.step(message.CommitDone{Tag: commit.Tag, Outcome: outcome}))
	}
}

// sendWorkerHeartbeats has the given number of workers send a heartbeat of an agent epoch, all at
// once.
func (h *blockHarness) sendWorkerHeartbeats(machines int, agentEpoch protocol.AgentEpoch) {
	for i := range machines {
		h.seq++
		h.now++
		h.executeCommits(h.core.Step(h.now, message.HeartbeatReceived{Heartbeat: protocol.Heartbeat{
			Machine: protocol.MachineID(fmt.Sprintf("vm-%06d", i)), Address: "10.1.0.1:9000", Type: "small", Zone: "a", AgentEpoch: agentEpoch, Seq: h.seq,
		}}))
	}
}

// countRegistered returns the number of machines that are registered with an agent epoch.
func (h *blockHarness) countRegistered(agentEpoch protocol.AgentEpoch) int {
	n := 0
	for _, m := range h.core.waitTable.Machines {
		if m.Record.Session == agentEpoch {
			n++
		}
	}
	return n
}

// TestMassRegistrationNeedsFewChanges: if 1,300 workers register at once, or all of them
// restart with a later agent epoch at once, the key-value store needs one change for about 50
// of them. With a separate record for each machine it needed 1,300 changes.
func TestMassRegistrationNeedsFewChanges(t *testing.T) {
	const machines = 1300
	h := newBlockHarness(t)
	for agentEpoch := protocol.AgentEpoch(1); agentEpoch <= 2; agentEpoch++ {
		h.recordChanges = 0
		h.sendWorkerHeartbeats(machines, agentEpoch)
		h.runTicks(60)
		if n := h.countRegistered(agentEpoch); n != machines {
			t.Fatalf("agent epoch %d: %d of %d registered", agentEpoch, n, machines)
		}
		if h.recordChanges > 2*machines/64+10 {
			t.Errorf("agent epoch %d: %d changes for %d machines", agentEpoch, h.recordChanges, machines)
		}
		t.Logf("agent epoch %d: %d changes", agentEpoch, h.recordChanges)
	}
}

// TestLateWritePutsNoMachineIntoTwoBlocks: a write of blocks that is not answered and is
// executed much later puts no machine into two blocks and restores no removed record.
func TestLateWritePutsNoMachineIntoTwoBlocks(t *testing.T) {
	h := newBlockHarness(t)
	h.sendWorkerHeartbeats(40, 1)
	h.runTicks(10)
	remaining := 2
	h.chooseOutcome = func(c message.Commit) message.Outcome {
		if _, registration := c.Tag.(workerregistry.Tag); registration && remaining > 0 {
			remaining--
			return message.OutcomeUnknown
		}
		return message.OutcomeDone
	}
	h.sendWorkerHeartbeats(100, 1) // 60 of them are new
	h.runTicks(3)
	h.sendWorkerHeartbeats(20, 2)
	h.runTicks(30)
	if n := h.countRegistered(1) + h.countRegistered(2); n != 100 || h.countRegistered(2) != 20 {
		t.Fatalf("%d registered, %d with the later agent epoch", n, h.countRegistered(2))
	}
	if len(h.unanswered) != 2 {
		t.Fatalf("%d writes were not answered, want 2", len(h.unanswered))
	}
	for _, txn := range h.unanswered {
		h.store.Execute(txn)
	}
	h.runTicks(5)
	blockOf := map[protocol.MachineID]string{}
	for _, item := range h.store.List(record.BlockKey("")) {
		var block record.Block
		if err := protocol.Decode(item.Value, &block); err != nil {
			t.Fatal(err)
		}
		for _, entry := range block.Machines {
			if other, found := blockOf[entry.ID]; found {
				t.Errorf("%s is in %s and in %s", entry.ID, other, item.Key)
			}
			blockOf[entry.ID] = item.Key
		}
	}
	if len(blockOf) != 100 || h.countRegistered(2) != 20 {
		t.Errorf("%d machines in blocks, %d with the later agent epoch", len(blockOf), h.countRegistered(2))
	}
}

// TestSilentMachineIsRemovedFromItsBlock: a machine that sends no heartbeat for longer than
// its lease is removed from its block. The separate record of a machine, which an earlier
// version wrote, is deleted.
func TestSilentMachineIsRemovedFromItsBlock(t *testing.T) {
	h := newBlockHarness(t)
	registration := record.Machine{Session: 1, Address: "x", Type: "small", Zone: "a"}
	h.store.Execute(protocol.Transaction{Changes: []protocol.Change{{Put: record.MachineKey("vm-old"), Value: registration}}})
	h.store.Execute(protocol.Transaction{Changes: []protocol.Change{{Put: record.MachineKey("vm-000000"), Value: registration}}})
	h.runTicks(2)
	epoch := h.core.waitTable.Machines["vm-000000"].Epoch
	h.sendWorkerHeartbeats(1, 2) // restarts with a later agent epoch and moves into a block
	h.runTicks(5)
	inBlock := h.core.registrar.InBlock("vm-000000")
	if m := h.core.waitTable.Machines["vm-000000"]; m == nil || !inBlock || m.Epoch <= epoch {
		t.Fatalf("not moved into a block: %+v", m)
	}
	if _, found := h.store.Get(record.MachineKey("vm-000000")); found {
		t.Error("its separate record still exists")
	}
	h.now += Time(h.core.WorkerLeaseBound())
	h.runTicks(60)
	if len(h.core.waitTable.Machines) != 0 || h.core.registrar.BlockCount() != 0 || len(h.store.List(record.FollowedPrefix)) != 2 {
		t.Errorf("%d machines, %d blocks, records %v", len(h.core.waitTable.Machines), h.core.registrar.BlockCount(), h.store.List(record.FollowedPrefix))
	}
}

// TestControllerWithoutBlocksIsExcludedFromView: while a member does not support blocks, each
// machine has a record of its own. Once blocks are in use, a controller that does not support
// them is not added to the view, and it could not decode the view.
func TestControllerWithoutBlocksIsExcludedFromView(t *testing.T) {
	h := newHarness(t)
	// putNode has the core receive the record of a controller, and returns the view that the
	// core writes because of it.
	putNode := func(name protocol.NodeName, session protocol.LeaseID, layout record.Layout) (view record.View) {
		for _, a := range append(h.putRecord(record.NodeKey(name), record.Node{Session: session, Layout: layout}), h.step(message.Tick{})...) {
			if c, ok := a.(message.Commit); ok && c.Tag == (membership.ViewTag{}) {
				view = c.Transaction.Changes[0].Value.(record.View)
			}
		}
		h.step(message.CommitDone{Tag: membership.ViewTag{}, Outcome: message.OutcomeDone})
		return view
	}
	putNode("node-0", 100, record.LayoutBlocks)
	h.adoptView(2, "node-0")
	view := putNode("node-1", 101, 0)
	if len(view.Members) != 2 || view.Layout != record.LayoutSingle {
		t.Fatalf("view %+v", view)
	}
	h.putRecord(record.ViewKey, view)
	putNode("node-0", 100, record.LayoutBlocks)
	if view = putNode("node-1", 201, record.LayoutBlocks); view.Members["node-1"] != 201 || view.Layout != record.LayoutBlocks {
		t.Fatalf("view %+v", view)
	}
	h.putRecord(record.ViewKey, view)
	raw, err := protocol.Encode(view)
	if err != nil {
		t.Fatal(err)
	}
	var older struct {
		Term    protocol.Term                          `cbor:"term"`
		Members map[protocol.NodeName]protocol.LeaseID `cbor:"members"`
	}
	if err := protocol.Decode(raw, &older); err == nil {
		t.Error("an older version can decode a view whose layout is blocks")
	}
	if view = putNode("node-1", 301, record.LayoutSingle); len(view.Members) != 1 || view.Layout != record.LayoutBlocks {
		t.Errorf("view %+v", view)
	}
}
