package admission

import (
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// TestSubmissionIsForwardedOnce: a submission that this controller can't settle is
// forwarded to one leading peer, once, and its answer given back as it is. Without one
// the answer is to retry, never that the job was accepted.
func TestSubmissionIsForwardedOnce(t *testing.T) {
	for _, tc := range []struct {
		name    string
		leading []protocol.NodeName
		reply   Answer
		silent  bool
		asked   int
		status  int
	}{
		{"nobody leads", nil, Answer{Status: 201}, false, 0, 503},
		{"accepted", []protocol.NodeName{"node-1", "node-2"}, Answer{Status: 201, Body: []byte("yes")}, false, 1, 201},
		{"refused", []protocol.NodeName{"node-1", "node-2"}, Answer{Status: 422}, false, 1, 422},
		{"refused there, too", []protocol.NodeName{"node-1", "node-2"}, Answer{Status: 503, RetryAfterS: 2}, false, 1, 503},
		{"no answer", []protocol.NodeName{"node-1"}, Answer{Status: 201}, true, 1, 503},
		{"an empty answer", []protocol.NodeName{"node-1"}, Answer{}, false, 1, 503},
		{"one not known", []protocol.NodeName{"node-9"}, Answer{Status: 201}, false, 0, 503},
	} {
		h := newHarness()
		asked := 0
		body := submission(t, "job-000001", nil)
		h.write = func(w Write) any { return Written{ID: w.ID, Outcome: message.OutcomeRefused} }
		h.queryOwners = func(q QueryOwners) any { return OwnersAnswered{Query: q.Query, Leading: tc.leading} }
		h.passOn = func(p Forward) any {
			if asked++; p.To != "node-1" || string(p.Body) != string(body) {
				t.Errorf("%s: asked %v", tc.name, p)
			}
			if tc.silent {
				return nil
			}
			return Forwarded{ID: p.ID, Answer: tc.reply}
		}
		h.step(t, smallType)
		h.step(t, Request{ID: 1, Operation: Submit, Body: body})
		h.pass(t, requestBudget)
		m := h.answers[1]
		if asked != tc.asked || m.Status != tc.status {
			t.Errorf("%s: %d asked, answer %d, want %d and %d", tc.name, asked, m.Status, tc.asked, tc.status)
		}
		if m.Status == 503 && m.RetryAfterS == 0 {
			t.Errorf("%s: no time to retry after", tc.name)
		}
		if m.Status == 201 && string(m.Body) != string(tc.reply.Body) {
			t.Errorf("%s: body %q", tc.name, m.Body)
		}
	}
	h := newHarness()
	h.write = func(w Write) any { return Written{ID: w.ID, Outcome: message.OutcomeRefused} }
	h.step(t, smallType)
	h.step(t, Request{ID: 1, Operation: Submit, Body: submission(t, "job-000001", nil), Forwarded: true}) // would panic without queryOwners
	if h.answers[1].Status != 503 {
		t.Error("forwarded twice")
	}
}
