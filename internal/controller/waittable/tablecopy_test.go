package waittable

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const copyWait = 2 * time.Second

// newTable returns a table of node-0 in a view with the given peers.
func newTable(t *testing.T, peers ...protocol.NodeName) *Table {
	t.Helper()
	view := record.View{Term: 1, Members: map[protocol.NodeName]protocol.LeaseID{"node-0": 100}}
	for i, name := range peers {
		view.Members[name] = protocol.LeaseID(101 + i)
	}
	state := &clusterstate.State{Operator: config.Operator{CopyWait: copyWait}, Now: clock.Time(time.Hour), View: view, Session: 100}
	state.Self = "node-0"
	table := New(clusterstate.Module{State: state, Output: &clusterstate.Output{}}, rand.New(rand.NewPCG(1, 1)))
	table.Reset()
	table.AdoptPeers(view)
	return table
}

// takeRequestedPeers returns the peers to which requests for their table were sent since the
// last call.
func takeRequestedPeers(table *Table) (names []protocol.NodeName) {
	for _, action := range table.Actions {
		if send, ok := action.(message.Send); ok && send.Message.AskTable {
			names = append(names, send.To)
		}
	}
	table.Actions = nil
	return names
}

// TestCopyIsRequestedFromTwoPeersAtATime: a restarted controller requests a table from two of
// its peers, from two others if no reply arrives in time, and from no peer twice.
func TestCopyIsRequestedFromTwoPeersAtATime(t *testing.T) {
	table := newTable(t, "node-1", "node-2", "node-3", "node-4")
	table.RequestCopy()
	asked := takeRequestedPeers(table)
	if len(asked) != 2 {
		t.Fatalf("asked %v at first, want two peers", asked)
	}
	table.Now += clock.Time(copyWait) - 1
	table.RequestMoreCopies()
	if early := takeRequestedPeers(table); len(early) != 0 {
		t.Fatalf("asked %v before the wait was over", early)
	}
	table.Now++
	table.RequestMoreCopies()
	asked = append(asked, takeRequestedPeers(table)...)
	slices.Sort(asked)
	if want := []protocol.NodeName{"node-1", "node-2", "node-3", "node-4"}; !slices.Equal(asked, want) {
		t.Errorf("asked %v in all, want %v", asked, want)
	}
	table.Now += clock.Time(copyWait)
	table.RequestMoreCopies()
	if again := takeRequestedPeers(table); len(again) != 0 {
		t.Errorf("asked %v again", again)
	}
}

// TestNoRequestsAfterCopyReceived: once a copy has arrived, no further requests are sent.
func TestNoRequestsAfterCopyReceived(t *testing.T) {
	table := newTable(t, "node-1", "node-2", "node-3", "node-4")
	table.RequestCopy()
	takeRequestedPeers(table)
	table.AdoptCopy(nil)
	table.Now += clock.Time(copyWait)
	table.RequestMoreCopies()
	if asked := takeRequestedPeers(table); len(asked) != 0 {
		t.Errorf("asked %v after a copy had arrived", asked)
	}
}
