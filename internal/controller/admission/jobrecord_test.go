package admission

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// TestRecordIsReadWhenWriteAnswerIsLate: where a transaction is carried out and its
// answer is lost, or late, the request is answered from the record soon. Where it is not
// carried out, there is no answer before that of the transaction, and only one.
func TestRecordIsReadWhenWriteAnswerIsLate(t *testing.T) {
	for _, op := range []Operation{Submit, Cancel} {
		for _, done := range []bool{true, false} {
			h := newHarness()
			live := record.JobRecord{State: record.RecordLive, Tasks: 2}
			found, wrote := &live, RequestID(0)
			if op == Submit {
				found = nil
			}
			h.queryOwners = func(q QueryOwners) any { return OwnersAnswered{Query: q.Query, Members: []protocol.NodeName{"node-0"}} }
			h.announce = func(action Announce) any { return Announced{Job: action.Job, By: action.To} }
			h.get = func(g Get) any {
				if found == nil {
					return Read{ID: g.ID, Outcome: message.OutcomeFailed}
				}
				return Read{ID: g.ID, Outcome: message.OutcomeDone, Record: *found, Version: 7}
			}
			h.write = func(w Write) any {
				wrote = w.ID
				if done && op == Submit {
					found = &live
				} else if done {
					found = &record.JobRecord{State: record.RecordCancelled, Tasks: 2}
				}
				return nil
			}
			h.step(t, smallType)
			h.step(t, Request{ID: 1, Operation: op, Job: "job-000001", Body: submission(t, "job-000001", nil)})
			h.pass(t, writeRecheckDelay+20*time.Millisecond)
			a, answered := h.answers[1]
			if answered != done {
				t.Errorf("operation %d, carried out %v: answered %v: %+v", op, done, answered, a)
			}
			h.step(t, Written{ID: wrote, Outcome: message.OutcomeDone}) // in the end
			if a := h.answers[1]; a.Status != 200 && a.Status != 201 {
				t.Errorf("operation %d, carried out %v: %+v", op, done, a)
			}
		}
	}
}
