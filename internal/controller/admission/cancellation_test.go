package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// cancelledRevision is the revision of the transaction that cancels the jobs of these tests.
const cancelledRevision = 40

// watchStaleness is how long a controller with the lease of the harness may act without having
// observed a change of the records.
const watchStaleness = 10 * time.Second

// cancellationHarness is a harness whose jobs all have the record of a cancelled job.
type cancellationHarness struct {
	*harness
	members      []protocol.NodeName // of the view that the core has observed
	observed     protocol.Revision   // up to which the core has observed the records
	ended        map[protocol.JobID]clock.Time
	unresponsive map[protocol.NodeName]bool // controllers that acknowledge nothing
	notified     []protocol.NodeName
	nextRequest  RequestID
}

func newCancellationHarness(t *testing.T) *cancellationHarness {
	h := &cancellationHarness{
		harness: newHarness(), members: []protocol.NodeName{"node-0", "node-1", "node-2"}, observed: cancelledRevision,
		ended: map[protocol.JobID]clock.Time{}, unresponsive: map[protocol.NodeName]bool{},
	}
	h.queryCore = func(q QueryCore) any {
		return CoreAnswered{Query: q.Query, Members: h.members, ObservedRevision: h.observed, Ended: h.ended}
	}
	h.get = func(g GetRecord) any {
		return RecordRead{ID: g.ID, Outcome: message.OutcomeDone, Record: record.JobRecord{State: record.RecordCancelled, Tasks: 2}, Version: cancelledRevision}
	}
	h.write = func(w Write) any { return Written{ID: w.ID, Outcome: message.OutcomeFailed} }
	h.announce = func(action Announce) any {
		h.notified = append(h.notified, action.To)
		if h.unresponsive[action.To] {
			return nil
		}
		return AnnouncementAcknowledged{Job: action.Job, By: action.To}
	}
	h.step(t, smallType)
	return h
}

// ask sends a request for a job and returns the answer and the time until it came.
func (h *cancellationHarness) ask(t *testing.T, op Operation, job protocol.JobID) (Answer, time.Duration) {
	t.Helper()
	h.nextRequest++
	id, from := h.nextRequest, h.now
	h.step(t, Request{ID: id, Operation: op, Job: job, Body: submission(t, string(job), nil)})
	for range 1000 {
		if a, ok := h.answers[id]; ok {
			return a, time.Duration(h.now - from)
		}
		h.advance(t, 10*time.Millisecond)
	}
	t.Fatalf("operation %d: no answer", op)
	return Answer{}, 0
}

// askUntilConfirmed repeats a request as users do, a second after each answer with status 503,
// and returns the time until the cancellation was confirmed.
func (h *cancellationHarness) askUntilConfirmed(t *testing.T, op Operation, job protocol.JobID) time.Duration {
	t.Helper()
	for from := h.now; time.Duration(h.now-from) < time.Minute; h.advance(t, RetryAfterSeconds*time.Second) {
		switch a, _ := h.ask(t, op, job); {
		case a.Status == statusOK && decodeStatus(t, a).State == protocol.JobCancelled:
			return time.Duration(h.now - from)
		case a.Status != statusUnavailable || a.RetryAfterS == 0:
			t.Fatalf("operation %d: %+v", op, a)
		}
	}
	t.Fatalf("operation %d: the cancellation was not confirmed within a minute", op)
	return 0
}

// TestCancellationIsConfirmedOnceNoControllerCanStart checks when a submission, a poll and a
// cancellation of a cancelled job are answered: at once if all controllers acknowledge it, and
// otherwise not before the controllers without acknowledgement can't act any more. It guards
// against starts after a confirmed cancellation: the answer came after 250 ms although a member
// that was cut off had not acknowledged it and acted for seconds more.
func TestCancellationIsConfirmedOnceNoControllerCanStart(t *testing.T) {
	const soon = 100 * time.Millisecond
	for _, op := range []Operation{Submit, Poll, Cancel} {
		for name, tc := range map[string]struct {
			prepare func(*cancellationHarness)
			atLeast time.Duration
			within  time.Duration
		}{
			"all acknowledge": {within: soon},
			"a controller that is not a member does not": {prepare: func(h *cancellationHarness) {
				h.unresponsive["node-2"], h.members = true, h.members[:2]
			}, within: soon},
			"a member does not": {prepare: func(h *cancellationHarness) {
				h.unresponsive["node-2"] = true
			}, atLeast: watchStaleness, within: watchStaleness + confirmationBudget},
			"not a member by a view from before the cancellation": {prepare: func(h *cancellationHarness) {
				h.unresponsive["node-2"], h.members, h.observed = true, h.members[:2], cancelledRevision-1
			}, atLeast: watchStaleness, within: watchStaleness + confirmationBudget},
			"the members are not known": {prepare: func(h *cancellationHarness) {
				h.unresponsive["node-2"], h.members, h.observed = true, nil, 0
			}, atLeast: watchStaleness, within: watchStaleness + confirmationBudget},
		} {
			t.Run(fmt.Sprintf("operation %d, %s", op, name), func(t *testing.T) {
				h := newCancellationHarness(t)
				if tc.prepare != nil {
					tc.prepare(h)
				}
				if took := h.askUntilConfirmed(t, op, "job-000001"); took < tc.atLeast || took > tc.within {
					t.Errorf("confirmed after %v, want %v to %v", took, tc.atLeast, tc.within)
				}
				if slices.Sort(h.notified); !slices.Equal(slices.Compact(h.notified), []protocol.NodeName{"node-0", "node-1", "node-2"}) {
					t.Errorf("notified %v, want all controllers", h.notified)
				}
				h.notified = nil
				if h.askUntilConfirmed(t, op, "job-000001"); len(h.notified) > 0 {
					t.Errorf("notified %v after the confirmation", h.notified)
				}
			})
		}
	}
}

// TestConfirmationFollowsLastAcknowledgement checks that a waiting request is answered as soon
// as the last member acknowledges the cancellation when it is announced again, or as soon as it
// leaves the view. It guards against users who wait for longer than the rules need.
func TestConfirmationFollowsLastAcknowledgement(t *testing.T) {
	for name, end := range map[string]func(*cancellationHarness){
		"it acknowledges":     func(h *cancellationHarness) { delete(h.unresponsive, "node-2") },
		"it leaves the view":  func(h *cancellationHarness) { h.members = h.members[:2] },
		"its end is observed": func(h *cancellationHarness) { h.ended["job-000001"] = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			h := newCancellationHarness(t)
			h.unresponsive["node-2"] = true
			h.now += 2 * clock.Time(watchStaleness) // the process began long ago
			h.step(t, Request{ID: 1, Operation: Cancel, Job: "job-000001"})
			h.advance(t, 2*time.Second)
			if a, ok := h.answers[1]; ok {
				t.Fatalf("answered while a member may start tasks: %+v", a)
			}
			end(h)
			h.advance(t, AnnounceTimeout+100*time.Millisecond)
			if a, ok := h.answers[1]; !ok || a.Status != statusOK {
				t.Errorf("not answered: %+v", a)
			}
		})
	}
}

// TestUnconfirmedRequestsLeaveRoomForOthers checks that requests that wait for a confirmation
// neither keep others from being handled nor are without a limit of their own. It guards against
// a controller that answers nobody while one that is cut off has not acknowledged cancellations.
func TestUnconfirmedRequestsLeaveRoomForOthers(t *testing.T) {
	h := newCancellationHarness(t)
	h.unresponsive["node-2"] = true
	for i := range RequestID(MaxRequests + 1) {
		h.step(t, Request{ID: i + 1, Operation: Cancel, Job: protocol.JobID(fmt.Sprintf("job-%06d", i))})
	}
	if a, ok := h.answers[MaxRequests+1]; !ok || a.Status != statusUnavailable {
		t.Errorf("a cancellation beyond the limit: %+v, want status 503", a)
	}
	h.get = func(g GetRecord) any {
		return RecordRead{ID: g.ID, Outcome: message.OutcomeDone, Record: record.JobRecord{State: record.RecordDone, Tasks: 2}, Version: 50}
	}
	h.step(t, Request{ID: MaxRequests + 2, Operation: Cancel, Job: "job-900000"})
	if a := h.answers[MaxRequests+2]; a.Status != statusOK {
		t.Errorf("a request for a finished job: %+v, want status 200", a)
	}
	h.advance(t, confirmationBudget)
	if h.admission.awaitingConfirmation != 0 || len(h.admission.requests) != 0 {
		t.Errorf("%d requests and %d that wait for a confirmation are left", len(h.admission.requests), h.admission.awaitingConfirmation)
	}
}
