package admission

import (
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// TestSubmissionIsForwardedOnce checks that a submission that this controller can't settle
// is forwarded once, to one peer that holds its lease, and that the peer's answer is returned
// unchanged. If no peer answers, the user is told to retry, and never that the job was
// accepted.
func TestSubmissionIsForwardedOnce(t *testing.T) {
	for _, tc := range []struct {
		name     string
		leading  []protocol.NodeName
		reply    Answer
		silent   bool // the peer doesn't answer
		forwards int  // expected number of forwarded submissions
		status   int  // expected status of the answer
	}{
		{"no peer leads", nil, Answer{Status: 201}, false, 0, 503},
		{"accepted", []protocol.NodeName{"node-1", "node-2"}, Answer{Status: 201, Body: []byte("yes")}, false, 1, 201},
		{"refused", []protocol.NodeName{"node-1", "node-2"}, Answer{Status: 422}, false, 1, 422},
		{"unavailable at the peer, too", []protocol.NodeName{"node-1", "node-2"}, Answer{Status: 503, RetryAfterS: 2}, false, 1, 503},
		{"no answer from the peer", []protocol.NodeName{"node-1"}, Answer{Status: 201}, true, 1, 503},
		{"empty answer from the peer", []protocol.NodeName{"node-1"}, Answer{}, false, 1, 503},
		{"unknown peer leads", []protocol.NodeName{"node-9"}, Answer{Status: 201}, false, 0, 503},
	} {
		h := newHarness()
		forwards := 0
		body := submission(t, "job-000001", nil)
		h.write = func(w Write) any { return Written{ID: w.ID, Outcome: message.OutcomeRefused} }
		h.queryCore = func(q QueryCore) any { return CoreAnswered{Query: q.Query, Leading: tc.leading} }
		h.forward = func(p Forward) any {
			if forwards++; p.To != "node-1" || string(p.Body) != string(body) {
				t.Errorf("%s: unexpected forward %v", tc.name, p)
			}
			if tc.silent {
				return nil
			}
			return Forwarded{ID: p.ID, Answer: tc.reply}
		}
		h.step(t, smallType)
		h.step(t, Request{ID: 1, Operation: Submit, Body: body})
		h.advance(t, requestBudget)
		m := h.answers[1]
		if forwards != tc.forwards || m.Status != tc.status {
			t.Errorf("%s: forwarded %d times, answer %d, want %d and %d", tc.name, forwards, m.Status, tc.forwards, tc.status)
		}
		if m.Status == 503 && m.RetryAfterS == 0 {
			t.Errorf("%s: 503 without a retry time", tc.name)
		}
		if m.Status == 201 && string(m.Body) != string(tc.reply.Body) {
			t.Errorf("%s: body %q", tc.name, m.Body)
		}
	}
	h := newHarness()
	h.write = func(w Write) any { return Written{ID: w.ID, Outcome: message.OutcomeRefused} }
	h.step(t, smallType)
	h.step(t, Request{ID: 1, Operation: Submit, Body: submission(t, "job-000001", nil), Forwarded: true}) // would panic without queryCore
	if h.answers[1].Status != 503 {
		t.Error("a forwarded submission was forwarded again")
	}
}
