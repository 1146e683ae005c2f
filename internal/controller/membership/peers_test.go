package membership

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

// TestKeepsConnectionsUnlessPeerHoldsLease checks that a controller that does not hold its
// lease keeps its users' connections while it is in contact with a peer that does not hold
// one either, and that it does not keep them while a peer holds its lease, nor for long
// when it receives nothing from any peer.
func TestKeepsConnectionsUnlessPeerHoldsLease(t *testing.T) {
	for name, tc := range map[string]struct {
		peers     []protocol.NodeName
		inContact bool
		peerLeads bool
		forLong   bool
		waitsOut  bool
	}{
		"outage for all":                 {peers: []protocol.NodeName{"node-1"}, inContact: true, forLong: true, waitsOut: true},
		"refused alone":                  {peers: []protocol.NodeName{"node-1"}, inContact: true, peerLeads: true},
		"cut off from all, just now":     {peers: []protocol.NodeName{"node-1"}, waitsOut: true},
		"cut off from all, for long":     {peers: []protocol.NodeName{"node-1"}, forLong: true},
		"no peers, outage":               {forLong: true, waitsOut: true},
		"one of two peers is in contact": {peers: []protocol.NodeName{"node-1", "node-2"}, inContact: true, forLong: true, waitsOut: true},
	} {
		t.Run(name, func(t *testing.T) {
			settings := fake.Settings()
			settings.Name = "node-0"
			module := clusterstate.NewModule(settings, config.DefaultOperator(), slog.New(slog.DiscardHandler))
			module.Session = 100
			module.Now = clock.Time(time.Minute)
			module.LeaseDeadline = clock.Time(time.Minute)
			ms := New(module)
			view := record.View{Term: 1, Members: map[protocol.NodeName]protocol.LeaseID{"node-0": 100}}
			for i, peer := range tc.peers {
				view.Members[peer] = protocol.LeaseID(101 + i)
			}
			ms.AdoptView(view, 1)
			wait := time.Second
			if tc.forLong {
				wait = time.Minute
			}
			module.Now += clock.Time(wait)
			if tc.inContact {
				ms.NoteLoad("node-1", message.Load{})
			}
			if tc.peerLeads {
				ms.NoteHoldsLease("node-1")
			}
			if got := ms.ShouldWaitForLease(); got != tc.waitsOut {
				t.Errorf("waits out the outage: %v, want %v", got, tc.waitsOut)
			}
		})
	}
}
