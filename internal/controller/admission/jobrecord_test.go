package admission

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// TestRecordIsReadWhenWriteAnswerIsLate checks a request whose transaction is answered
// late or never. If the transaction was executed, the request is soon answered from the
// record. If it was not executed, the request is answered only after the transaction is,
// and only once.
func TestRecordIsReadWhenWriteAnswerIsLate(t *testing.T) {
	for _, op := range []Operation{Submit, Cancel} {
		for _, executed := range []bool{true, false} {
			h := newHarness()
			live := record.JobRecord{State: record.RecordLive, Tasks: 2}
			stored, written := &live, RequestID(0)
			if op == Submit {
				stored = nil
			}
			h.queryCore = func(q QueryCore) any { return CoreAnswered{Query: q.Query, Members: []protocol.NodeName{"node-0"}} }
			h.announce = func(action Announce) any { return AnnouncementAcknowledged{Job: action.Job, By: action.To} }
			h.get = func(g GetRecord) any {
				if stored == nil {
					return RecordRead{ID: g.ID, Outcome: message.OutcomeFailed}
				}
				return RecordRead{ID: g.ID, Outcome: message.OutcomeDone, Record: *stored, Version: 7}
			}
			h.write = func(w Write) any {
				written = w.ID
				if executed && op == Submit {
					stored = &live
				} else if executed {
					stored = &record.JobRecord{State: record.RecordCancelled, Tasks: 2}
				}
				return nil
			}
			h.step(t, smallType)
			h.step(t, Request{ID: 1, Operation: op, Job: "job-000001", Body: submission(t, "job-000001", nil)})
			h.advance(t, writeRecheckDelay+20*time.Millisecond)
			a, answered := h.answers[1]
			if answered != executed {
				t.Errorf("operation %d, executed %v: answered %v: %+v", op, executed, answered, a)
			}
			h.step(t, Written{ID: written, Outcome: message.OutcomeDone}) // the late answer
			if a := h.answers[1]; a.Status != 200 && a.Status != 201 {
				t.Errorf("operation %d, executed %v: %+v", op, executed, a)
			}
		}
	}
}
