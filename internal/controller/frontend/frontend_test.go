package frontend

import (
	"context"
	"encoding/binary"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/operatorrequest"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/fixedseed"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
	"damsonkeel/internal/transport"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }

var errNoPeer = errors.New("no such peer")

// stubController is a Controller with fixed answers. It records the heartbeats it receives.
type stubController struct {
	ready      bool // returned by Ready
	heartbeats []protocol.Heartbeat
}

func (*stubController) Now() clock.Time { return 1 }
func (c *stubController) Ready() bool   { return c.ready }

func (c *stubController) QueueHeartbeat(heartbeat protocol.Heartbeat, reply transport.Reply) {
	c.heartbeats = append(c.heartbeats, heartbeat)
	reply(HeartbeatResponse(message.ReplyHeartbeat{Status: http.StatusMisdirectedRequest, Leader: "node-2"}))
}

func (*stubController) QueryCore(admission.QueryCore, func(admission.CoreAnswered)) bool {
	return false
}
func (*stubController) CancelJob(protocol.JobID, func()) {}

func (*stubController) DecideOperation(string, *operatorapi.Request) (operatorrequest.Decision, bool) {
	return operatorrequest.Decision{}, false
}

func (*stubController) ForwardSubmission(protocol.NodeName, []byte) (admission.Answer, error) {
	return admission.Answer{}, errNoPeer
}

func (*stubController) AnnounceCancellation(protocol.NodeName, protocol.JobID) error {
	return errNoPeer
}

func newTestFrontend(t *testing.T, controller *stubController) *Frontend {
	t.Helper()
	return New(controller, fake.Settings(), config.DefaultOperator(), nil, slog.New(slog.DiscardHandler))
}

// errorBody returns the body of a refusal.
func errorBody(t *testing.T, reason string) []byte {
	t.Helper()
	body, err := protocol.Encode(protocol.ErrorBody{Error: reason})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// TestRequestsAreRefusedByPathAndMethod checks the status and body of the immediate answers
// to requests with an unknown path, a wrong method, or an invalid job ID, and to health
// checks of a controller that isn't ready. The path of operators' requests is
// unknown unless operators' keys are configured.
func TestRequestsAreRefusedByPathAndMethod(t *testing.T) {
	for _, tc := range []struct {
		method, path string
		status       int
		reason       string
	}{
		{"GET", "/", 404, "no such path"},
		{"GET", "/v1/report/", 404, "no such path"},
		{"POST", operatorapi.Path, 404, "no such path"},
		{"GET", "/v1/report", 405, "method not allowed"},
		{"POST", "/up", 405, "method not allowed"},
		{"GET", "/work", 405, "method not allowed"},
		{"POST", "/work/j", 405, "method not allowed"},
		{"GET", "/work/j/abort", 405, "method not allowed"},
		{"GET", "/work/", 404, "no such job"},
		{"GET", "/up", 503, "not ready"},
	} {
		t.Run(tc.method+" "+tc.path, func(t *testing.T) {
			f := newTestFrontend(t, &stubController{})
			var got *transport.Message
			f.Handle(&transport.Message{Method: tc.method, Path: tc.path}, func(m *transport.Message) { got = m })
			if got == nil || got.Status != tc.status || !slices.Equal(got.Body, errorBody(t, tc.reason)) {
				t.Errorf("answered %+v, want %d with %q", got, tc.status, tc.reason)
			}
			if got != nil && (got.RetryAfterS != 0) != (tc.status == 503) {
				t.Errorf("retry after %d s with status %d", got.RetryAfterS, got.Status)
			}
		})
	}
}

// TestReadyControllerIsHealthy checks that a ready controller answers health checks with
// 200 and no body.
func TestReadyControllerIsHealthy(t *testing.T) {
	f := newTestFrontend(t, &stubController{ready: true})
	f.Handle(&transport.Message{Method: http.MethodGet, Path: "/up"}, func(m *transport.Message) {
		if m.Status != http.StatusOK || len(m.Body) != 0 {
			t.Errorf("answered %+v", m)
		}
	})
}

// TestHeartbeatsAreQueuedForTheCore checks that a heartbeat is queued as it was sent, and
// that its answer names the controller that the worker is redirected to. A malformed
// heartbeat is refused.
func TestHeartbeatsAreQueuedForTheCore(t *testing.T) {
	controller := &stubController{}
	f := newTestFrontend(t, controller)
	sent := protocol.Heartbeat{Machine: "vm-1", Address: "10.0.0.1:9000", Type: "small", Zone: "a", AgentEpoch: 1, Seq: 1}
	body, err := protocol.Encode(sent)
	if err != nil {
		t.Fatal(err)
	}
	var got *transport.Message
	reply := func(m *transport.Message) { got = m }
	f.Handle(&transport.Message{Method: http.MethodPost, Path: "/v1/report", Body: body}, reply)
	if len(controller.heartbeats) != 1 || controller.heartbeats[0].Machine != "vm-1" {
		t.Fatalf("queued %+v", controller.heartbeats)
	}
	var redirect protocol.Redirect
	if err := protocol.Decode(got.Body, &redirect); err != nil || got.Status != 421 || redirect.Leader != "node-2" {
		t.Errorf("answered %+v: %+v (%v)", got, redirect, err)
	}
	f.Handle(&transport.Message{Method: http.MethodPost, Path: "/v1/report", Body: []byte{0xff}}, reply)
	if got.Status != 400 || len(controller.heartbeats) != 1 {
		t.Errorf("malformed heartbeat: answered %+v", got)
	}
}

// TestFullMailboxRefusesRequestsAtOnce checks that no request blocks on a full mailbox.
func TestFullMailboxRefusesRequestsAtOnce(t *testing.T) {
	f := newTestFrontend(t, &stubController{})
	var got []*transport.Message
	for range cap(f.mailbox) + 1 { // the actor does not run
		f.Handle(&transport.Message{Method: http.MethodPost, Path: "/work"}, func(m *transport.Message) { got = append(got, m) })
	}
	if len(got) != 1 || got[0].Status != 503 || got[0].RetryAfterS == 0 || !slices.Equal(got[0].Body, errorBody(t, "too many requests at once")) {
		t.Errorf("answered %+v", got)
	}
}

// TestRunReturnsWhenContextEnds checks that the actor answers a request while it runs and
// ends with its context. After that, posting to a full mailbox doesn't block.
func TestRunReturnsWhenContextEnds(t *testing.T) {
	f := newTestFrontend(t, &stubController{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ended := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(ended)
	}()
	answered := make(chan *transport.Message, 1)
	f.Handle(&transport.Message{Method: http.MethodPost, Path: "/work", Body: []byte{0xff}}, func(m *transport.Message) { answered <- m })
	if m := <-answered; m.Status < 400 || m.Status == 404 {
		t.Errorf("malformed submission: answered %+v", m)
	}
	cancel()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the actor still runs after its context has ended")
	}
	for range cap(f.mailbox) + 1 {
		f.post(ctx, admission.Tick{}) // returns even if the mailbox is full
	}
}

// TestOperatorReplyCodesMapToHTTPStatus checks the HTTP status of each reply code. Only the
// response for RetryLater has a retry time.
func TestOperatorReplyCodesMapToHTTPStatus(t *testing.T) {
	for code, want := range map[operatorapi.Code]int{operatorapi.Done: 200, operatorapi.Refused: 409, operatorapi.NotFound: 404, operatorapi.RetryLater: 503} {
		m := operatorResponse(operatorapi.Reply{Code: code})
		if m.Status != want || (m.RetryAfterS != 0) != (want == 503) {
			t.Errorf("code %s: status %d, retry after %d s; want status %d", code, m.Status, m.RetryAfterS, want)
		}
	}
}

// TestHistoryHoldsLatestChangesThatFit checks that an answer holds the latest changes of the
// configuration that fit, newest first, and omits records that can't be decoded.
func TestHistoryHoldsLatestChangesThatFit(t *testing.T) {
	f := newTestFrontend(t, &stubController{})
	item := func(revision record.ConfigurationRevision, by string) protocol.Item {
		value, err := protocol.Encode(record.ConfigurationChange{Revision: revision, By: by})
		if err != nil {
			t.Fatal(err)
		}
		return protocol.Item{Key: "config/history/" + string(binary.BigEndian.AppendUint64(nil, uint64(revision))), Value: value}
	}
	long := string(make([]byte, maxHistoryBytes))
	items := []protocol.Item{item(2, "b"), item(1, long), {Key: "config/history/x", Value: []byte{0xff}}, item(3, "c")}
	history, more := f.latestChanges(items)
	if len(history) != 2 || history[0].Revision != 3 || history[1].Revision != 2 || !more {
		t.Errorf("%d changes, more %v", len(history), more)
	}
	if history, more = f.latestChanges(items[3:]); len(history) != 1 || more {
		t.Errorf("%d changes, more %v", len(history), more)
	}
}
