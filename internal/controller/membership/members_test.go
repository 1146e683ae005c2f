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

// TestWaitsOut: a controller that may not act keeps its users while it hears a peer
// that may not act either; not while one does, nor for long when it hears nobody.
func TestWaitsOut(t *testing.T) {
	for name, tc := range map[string]struct {
		peers    []protocol.NodeName
		hears    bool
		acts     bool
		forLong  bool
		waitsOut bool
	}{
		"an outage for all":             {peers: []protocol.NodeName{"node-1"}, hears: true, forLong: true, waitsOut: true},
		"refused alone":                 {peers: []protocol.NodeName{"node-1"}, hears: true, acts: true},
		"cut off from all, just now":    {peers: []protocol.NodeName{"node-1"}, waitsOut: true},
		"cut off from all":              {peers: []protocol.NodeName{"node-1"}, forLong: true},
		"there is no other, an outage":  {forLong: true, waitsOut: true},
		"one of two peers can be heard": {peers: []protocol.NodeName{"node-1", "node-2"}, hears: true, forLong: true, waitsOut: true},
	} {
		s := fake.Settings()
		s.Name = "node-0"
		p := clusterstate.Module{State: clusterstate.NewState(s, config.DefaultOperator(), slog.New(slog.DiscardHandler)), Output: &clusterstate.Output{}}
		p.Session, p.Now, p.LeaseDeadline = 100, clock.Time(time.Minute), clock.Time(time.Minute)
		ms := New(p)
		v := record.View{Term: 1, Members: map[protocol.NodeName]protocol.LeaseID{"node-0": 100}}
		for i, peer := range tc.peers {
			v.Members[peer] = protocol.LeaseID(101 + i)
		}
		ms.Adopt(v, 1)
		wait := time.Second
		if tc.forLong {
			wait = time.Minute
		}
		p.Now += clock.Time(wait)
		if tc.hears {
			ms.NoteLoad("node-1", message.Load{})
		}
		if tc.acts {
			ms.NoteLeading("node-1")
		}
		if got := ms.ShouldWaitOut(); got != tc.waitsOut {
			t.Errorf("%s: %v", name, got)
		}
	}
}
