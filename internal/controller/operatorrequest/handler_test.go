package operatorrequest

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/autoscaler"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/holds"
	"damsonkeel/internal/controller/membership"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// newHandler returns the handler of node-0, which holds its lease and is in a view with
// node-1.
func newHandler(t *testing.T) *Handler {
	t.Helper()
	settings := fake.Settings()
	settings.Name = "node-0"
	module := clusterstate.NewModule(settings, config.DefaultOperator(), slog.New(slog.DiscardHandler))
	module.Session, module.LeaseDeadline, module.WallMS = 100, clock.Time(time.Hour), 1_770_000_000_000
	module.View = record.View{Term: 1, Members: map[protocol.NodeName]protocol.LeaseID{"node-0": 100, "node-1": 101}}
	module.Types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}}
	table := waittable.New(module, rand.New(rand.NewPCG(1, 1)))
	table.Reset()
	progress := func(protocol.JobID) (message.Progress, bool) { return message.Progress{}, false }
	reservations := holds.New(module, table, progress, func() {})
	reservations.Reset()
	_, planner := autoscaler.New(module, table, nil, reservations, nil)
	planner.Reset()
	members := membership.New(module)
	members.Reset()
	return New(module, members, table, reservations, planner)
}

// addShards sets a shard table with two shards in zone a, held by node-0 and node-1.
func addShards(h *Handler) {
	h.View.Layout = record.LayoutShards
	h.Shards = &record.ShardTable{Epoch: 2, Zones: []protocol.Zone{"a"}, Slots: 2, List: []record.ShardAssignment{{Holder: 100}, {Holder: 101}}}
}

// TestRefusedRequestsChangeNothing checks that a request that can't be carried out gets its
// documented code and reason, and has neither a transaction nor actions.
func TestRefusedRequestsChangeNothing(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(*Handler)
		request operatorapi.Request
		code    operatorapi.Code
		reason  string
	}{
		{"no session", func(h *Handler) { h.Session = 0 }, operatorapi.Request{Op: operatorapi.OpList}, operatorapi.RetryLater, "not ready"},
		{"no time of day", func(h *Handler) { h.WallMS = 0 }, operatorapi.Request{Op: operatorapi.OpList}, operatorapi.RetryLater, "not ready"},
		{"unknown operation", nil, operatorapi.Request{Op: "unknown"}, operatorapi.Refused, "no such operation"},
		{"add without a reservation", nil, operatorapi.Request{Op: operatorapi.OpAdd}, operatorapi.Refused, "no such operation"},
		{"add without a window", nil, operatorapi.Request{Op: operatorapi.OpAdd, Window: true}, operatorapi.Refused, "no such operation"},
		{"show of a missing entry", nil, operatorapi.Request{Op: operatorapi.OpShow, Name: "one"}, operatorapi.NotFound, "nothing of this name"},
		{"cancel of a missing reservation", nil, operatorapi.Request{Op: operatorapi.OpCancel, Name: "one"}, operatorapi.NotFound, "no reservation of this name"},
		{"cancel of a missing window", nil, operatorapi.Request{Op: operatorapi.OpCancel, Window: true, Name: "one"}, operatorapi.NotFound, "no window of this name"},
		{"list of shards without shards", nil, operatorapi.Request{Op: operatorapi.OpShares}, operatorapi.Refused, "machines are not kept by shares here"},
		{"move without shards", nil, operatorapi.Request{Op: operatorapi.OpMove}, operatorapi.Refused, "machines are not kept by shares here"},
		{
			"move without a lease",
			func(h *Handler) { addShards(h); h.LeaseDeadline = 0 },
			operatorapi.Request{Op: operatorapi.OpMove, Controller: "node-1", Shares: []int{0}},
			operatorapi.RetryLater, "may not act now",
		},
		{"move to a controller that is not a member", addShards, operatorapi.Request{Op: operatorapi.OpMove, Controller: "node-9", Shares: []int{0}}, operatorapi.NotFound, "no such controller takes part"},
		{"move without shard numbers", addShards, operatorapi.Request{Op: operatorapi.OpMove, Controller: "node-1"}, operatorapi.Refused, "no share is named"},
		{"move of a missing shard", addShards, operatorapi.Request{Op: operatorapi.OpMove, Controller: "node-1", Shares: []int{2}}, operatorapi.NotFound, "no such share"},
		{
			"move to a cordoned controller",
			func(h *Handler) { addShards(h); h.Shards.Away = []protocol.NodeName{"node-1"} },
			operatorapi.Request{Op: operatorapi.OpMove, Controller: "node-1", Shares: []int{0}},
			operatorapi.Refused, "it is to keep none",
		},
		{
			"cordon of the last controller",
			func(h *Handler) { addShards(h); h.Shards.Away = []protocol.NodeName{"node-1"} },
			operatorapi.Request{Op: operatorapi.OpAway, Controller: "node-0"},
			operatorapi.Refused, "no controller would be left to keep machines",
		},
		{"missing entry of the configuration", nil, operatorapi.Request{Op: operatorapi.OpConfig, Config: &operatorapi.ConfigRequest{Entry: "team/nobody"}}, operatorapi.NotFound, "there is no such entry"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHandler(t)
			if tc.prepare != nil {
				tc.prepare(h)
			}
			d := h.Decide("ops", &tc.request)
			if d.Reply.Code != tc.code || d.Reply.Reason != tc.reason || d.Transaction != nil || len(h.Actions) > 0 {
				t.Errorf("%+v with %v and %d actions, want %s: %s", d.Reply, d.Transaction, len(h.Actions), tc.code, tc.reason)
			}
		})
	}
}

// TestListContinuesAfterNamedEntry checks that a list has a bounded size and reports
// whether there are more entries, and that the next page begins after the entry named in
// its request.
func TestListContinuesAfterNamedEntry(t *testing.T) {
	const windows = maxCalendarEntries + 2
	h := newHandler(t)
	for i := range windows {
		w := record.Window{Spec: record.WindowSpec{Name: record.EntryName(fmt.Sprintf("w-%02d", i)), When: "daily at 04:00", LengthS: 600, Zone: "a"}}
		if err := h.reservations.Calendar.PutWindow(w, 1, h.WallTime()); err != nil {
			t.Fatal(err)
		}
	}
	first := h.Decide("ops", &operatorapi.Request{Op: operatorapi.OpList, Window: true}).Reply
	if len(first.Windows) != maxCalendarEntries || !first.More {
		t.Fatalf("%d windows, more: %v", len(first.Windows), first.More)
	}
	last := first.Windows[maxCalendarEntries-1].Spec.Name
	rest := h.Decide("ops", &operatorapi.Request{Op: operatorapi.OpList, Window: true, Name: last}).Reply
	if len(rest.Windows) != windows-maxCalendarEntries || rest.More || rest.Windows[0].Spec.Name <= last {
		t.Errorf("%d more windows after %s, more: %v", len(rest.Windows), last, rest.More)
	}
}

// TestCordonIsOneConditionalTransaction checks that cordoning a controller changes the
// shard table on the condition that the table has the version that the decision is based
// on, and that repeating the request changes nothing.
func TestCordonIsOneConditionalTransaction(t *testing.T) {
	h := newHandler(t)
	addShards(h)
	h.ShardsVersion = 7
	d := h.Decide("ops", &operatorapi.Request{Op: operatorapi.OpAway, Controller: "node-1"})
	if d.Reply.Code != operatorapi.Done || d.Transaction == nil {
		t.Fatalf("%+v, %v", d.Reply, d.Transaction)
	}
	if c := d.Transaction.Conditions; len(c) != 1 || c[0].Key != record.ShardTableKey || c[0].Version != 7 {
		t.Errorf("conditions %+v", c)
	}
	next, ok := d.Transaction.Changes[0].Value.(record.ShardTable)
	if !ok || len(next.Away) != 1 || next.Away[0] != "node-1" || len(h.Shards.Away) != 0 {
		t.Fatalf("table %+v, before %+v", d.Transaction.Changes, h.Shards.Away)
	}
	h.Shards = &next
	if again := h.Decide("ops", &operatorapi.Request{Op: operatorapi.OpAway, Controller: "node-1"}); again.Reply.Code != operatorapi.Done || again.Transaction != nil {
		t.Errorf("repeated: %+v, %v", again.Reply, again.Transaction)
	}
}
