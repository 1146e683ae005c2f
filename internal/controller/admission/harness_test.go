package admission

import (
	"log/slog"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
)

// harness executes the actions of an Admission. Each field of function type answers one
// kind of action: at once, or not at all if the function returns nil.
type harness struct {
	admission *Admission
	now       clock.Time
	answers   map[RequestID]Answer
	get       func(GetRecord) any
	write     func(Write) any
	queryCore func(QueryCore) any
	compare   func(Compare) any
	forward   func(Forward) any
	announce  func(Announce) any
}

// testingT is the common interface of *testing.T and *rapid.T that the tests use.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// maxTransactionOps is the number of operations that a transaction may hold in the tests.
const maxTransactionOps = 4

func newHarness() *harness {
	s := &config.Settings{Name: "node-0", Members: []config.Member{{Name: "node-1"}, {Name: "node-2"}}}
	s.Site.Count, s.Site.State = 3, config.State{RPS: 6000, WriteRPS: 2000, TxnOps: maxTransactionOps}
	s.Site.Teams = []config.Team{{Name: "free"}, {Name: "bound", MaxCPUs: 4}}
	operator := config.DefaultOperator()
	operator.NodeLease = 8 * time.Second
	return &harness{
		admission: New(s, operator, slog.New(slog.DiscardHandler)),
		now:       1,
		answers:   map[RequestID]Answer{},
	}
}

// step handles a message and all messages that answer the resulting actions.
func (h *harness) step(t testingT, msg any) {
	t.Helper()
	for pending := []any{msg}; len(pending) > 0; pending = pending[1:] {
		for _, a := range h.admission.Step(h.now, pending[0]) {
			var next any
			switch a := a.(type) {
			case Reply:
				if _, twice := h.answers[a.ID]; twice {
					t.Fatalf("request %d was answered twice", a.ID)
				}
				h.answers[a.ID] = a.Answer
			case GetRecord:
				next = h.get(a)
			case Write:
				next = h.write(a)
			case QueryCore:
				next = h.queryCore(a)
			case Compare:
				next = h.compare(a)
			case Forward:
				next = h.forward(a)
			case Announce:
				next = h.announce(a)
			}
			if next != nil {
				pending = append(pending, next)
			}
		}
	}
}

// advance moves the clock forward by d, with a tick every 10 ms.
func (h *harness) advance(t testingT, d time.Duration) {
	t.Helper()
	for end := h.now + clock.Time(d); h.now < end; {
		h.now += clock.Time(10 * time.Millisecond)
		h.step(t, Tick{})
	}
}

func decodeStatus(t testingT, a Answer) protocol.JobStatus {
	t.Helper()
	var s protocol.JobStatus
	if err := protocol.Decode(a.Body, &s); err != nil {
		t.Fatalf("decode the body of an answer with status %d: %v", a.Status, err)
	}
	return s
}

// submission returns the body of a user's submission, as modified by change.
func submission(t *testing.T, id string, change func(map[string]any)) []byte {
	t.Helper()
	m := map[string]any{
		"id": id, "berth": "train", "crew": "free", "rig": "batch", "tide": "high", "hauls": 2, "cores": 1.0, "gpus": 0.0, "memory_gb": 1.0,
		"hullcast": "img", "image_gb": 1.0, "hulls": nil, "quay": nil, "together": false, "scatter": false, "driftstock": true,
		"passage_s": 10.0, "logmark_s": 0.0, "stow_s": 0.0, "landfall_s": nil,
	}
	if change != nil {
		change(m)
	}
	b, err := protocol.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

var smallType = TypesRead{Types: []protocol.TypeInfo{{Name: "small", CPUs: 4, MemoryGB: 16}}}
