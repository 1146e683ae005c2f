package workerregistry

import (
	"log/slog"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	self    protocol.NodeName = "node-0"
	session protocol.LeaseID  = 100
	term    protocol.Term     = 7
)

// newRegistrar returns the registrar of a view with one controller.
func newRegistrar(t *testing.T) *Registrar {
	t.Helper()
	settings := fake.Settings()
	settings.Name = self
	module := clusterstate.NewModule(settings, config.DefaultOperator(), slog.New(slog.DiscardHandler))
	module.Session = session
	module.Now = clock.Time(time.Minute)
	module.LeaseDeadline = clock.Time(time.Hour)
	module.View = record.View{
		Term:    term,
		Members: map[protocol.NodeName]protocol.LeaseID{self: session},
		Layout:  record.LayoutBlocks,
	}
	return New(module)
}

// takeCommit returns the transaction emitted since the last call, or nil if there is none.
// It fails the test if any other action was emitted.
func takeCommit(t *testing.T, g *Registrar) *message.Commit {
	t.Helper()
	actions := g.Actions
	g.Actions = nil
	if len(actions) == 0 {
		return nil
	}
	commit, ok := actions[0].(message.Commit)
	if len(actions) > 1 || !ok {
		t.Fatalf("actions %v, want one transaction", actions)
	}
	return &commit
}

// requestNewRecord requests the record of a new machine.
func requestNewRecord(g *Registrar, id protocol.MachineID, requestTerm protocol.Term) {
	g.RequestChange(self, message.RecordChange{Term: requestTerm, Machine: id, To: &record.Machine{Zone: "a"}})
}

// TestWritesOneTransactionAtATime: a requested record is written with an epoch above those
// of earlier terms, on the condition that the view is unchanged. No other transaction is
// sent before the first is answered. A failed write is retried after a pause, into the
// same block.
func TestWritesOneTransactionAtATime(t *testing.T) {
	g := newRegistrar(t)
	requestNewRecord(g, "vm-old", term-1)
	g.WriteRequestedChanges()
	if commit := takeCommit(t, g); commit != nil {
		t.Fatalf("a request of an earlier term was written: %+v", commit)
	}
	requestNewRecord(g, "vm-1", term)
	g.WriteRequestedChanges()
	first := takeCommit(t, g)
	if first == nil || len(first.Transaction.Changes) != 1 || first.Transaction.Conditions[0].Key != record.ViewKey {
		t.Fatalf("transaction %+v, want one block, conditional on the view", first)
	}
	block, ok := first.Transaction.Changes[0].Value.(record.Block)
	if !ok || len(block.Machines) != 1 || block.Machines[0].Epoch != protocol.Version(uint64(term)<<32|1) {
		t.Fatalf("wrote %+v, want one machine with the first epoch of the term", first.Transaction.Changes[0])
	}
	requestNewRecord(g, "vm-2", term)
	g.WriteRequestedChanges()
	if commit := takeCommit(t, g); commit != nil {
		t.Fatalf("a second transaction was sent before the answer: %+v", commit)
	}
	g.WriteCompleted(first.Tag.(Tag), message.OutcomeUnknown)
	g.WriteRequestedChanges()
	if commit := takeCommit(t, g); commit != nil {
		t.Fatalf("retried without a pause: %+v", commit)
	}
	g.Now = g.After(retryPause)
	g.WriteRequestedChanges()
	second := takeCommit(t, g)
	if second == nil {
		t.Fatal("the failed write was not retried")
	}
	for _, change := range second.Transaction.Changes {
		if change.Put != first.Transaction.Changes[0].Put {
			t.Errorf("a machine that may be in %s was added to %s", first.Transaction.Changes[0].Put, change.Put)
		}
	}
}

// TestInBlockFollowsWatchedBlocks: a machine is in a block once the watch has delivered the
// block, until the watch delivers the block's deletion.
func TestInBlockFollowsWatchedBlocks(t *testing.T) {
	g := newRegistrar(t)
	name := record.BlockName(1)
	entry := record.BlockEntry{ID: "vm-1", Epoch: 1}
	changed, removed := g.BlockUpdated(name, record.Block{Machines: []record.BlockEntry{entry}}, 5)
	if len(changed) != 1 || len(removed) != 0 || !g.InBlock("vm-1") || g.BlockCount() != 1 {
		t.Errorf("changed %v, removed %v, %d blocks", changed, removed, g.BlockCount())
	}
	if removed := g.BlockDeleted(name); len(removed) != 1 || g.InBlock("vm-1") || g.BlockCount() != 0 {
		t.Errorf("removed %v, %d blocks", removed, g.BlockCount())
	}
}
