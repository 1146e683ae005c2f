package admission

import (
	"slices"
	"testing"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// TestCancellationIsAnsweredOnceAcknowledged checks that a submission, a poll and a
// cancellation of a cancelled job are answered only when all members have acknowledged
// the cancellation or its deadline has passed. No request waits for a controller that
// isn't in the view.
func TestCancellationIsAnsweredOnceAcknowledged(t *testing.T) {
	for _, op := range []Operation{Submit, Poll, Cancel} {
		h := newHarness()
		members := []protocol.NodeName{"node-0", "node-1", "node-2"}
		var unresponsive protocol.NodeName
		var notified []protocol.NodeName
		h.queryCore = func(q QueryCore) any { return CoreAnswered{Query: q.Query, Members: members} }
		h.get = func(g GetRecord) any {
			return RecordRead{ID: g.ID, Outcome: message.OutcomeDone, Record: record.JobRecord{State: record.RecordCancelled, Tasks: 2}}
		}
		h.write = func(w Write) any { return Written{ID: w.ID, Outcome: message.OutcomeFailed} }
		h.announce = func(action Announce) any {
			notified = append(notified, action.To)
			if action.To == unresponsive {
				return nil
			}
			return AnnouncementAcknowledged{Job: action.Job, By: action.To}
		}
		h.step(t, smallType)
		timeToAnswer := func(id RequestID, job string) time.Duration {
			t.Helper()
			from := h.now
			h.step(t, Request{ID: id, Operation: op, Job: protocol.JobID(job), Body: submission(t, job, nil)})
			for range 100 {
				if _, ok := h.answers[id]; ok {
					break
				}
				h.advance(t, 10*time.Millisecond)
			}
			if a := h.answers[id]; a.Status != 200 || decodeStatus(t, a).State != protocol.JobCancelled {
				t.Fatalf("operation %d: %+v", op, a)
			}
			return time.Duration(h.now - from)
		}
		if d := timeToAnswer(1, "job-000001"); d >= AnnounceTimeout {
			t.Errorf("operation %d: answered after %v, though all members have acknowledged", op, d)
		}
		if slices.Sort(notified); !slices.Equal(notified, members) {
			t.Errorf("operation %d: notified %v, want all members", op, notified)
		}
		unresponsive = "node-2"
		if d := timeToAnswer(2, "job-000002"); d < AnnounceTimeout {
			t.Errorf("operation %d: answered after %v, though a member has not acknowledged", op, d)
		}
		members = members[:2]
		if d := timeToAnswer(3, "job-000003"); d >= AnnounceTimeout {
			t.Errorf("operation %d: waited %v for a controller that is not a member", op, d)
		}
		members = nil // unknown: any controller may be a member
		if d := timeToAnswer(4, "job-000004"); d < AnnounceTimeout {
			t.Errorf("operation %d: answered after %v, though a possible member has not acknowledged", op, d)
		}
		notified = nil
		if timeToAnswer(5, "job-000004"); len(notified) > 0 {
			t.Errorf("operation %d: notified %v a second time", op, notified)
		}
	}
}
