package kvstore

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/serviceclient"
	"damsonkeel/internal/transport"

	"golang.org/x/time/rate"
)

// serve listens on a local port, answers requests by the function answer, and returns the
// address. If answer returns nil, the connection is closed without a response.
func serve(t *testing.T, answer func(*transport.Message) *transport.Message) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveConnection(c, answer)
		}
	}()
	return ln.Addr().String()
}

// serveConnection answers the requests of one connection.
func serveConnection(c net.Conn, answer func(*transport.Message) *transport.Message) {
	defer c.Close()
	p := transport.NewRequestParser()
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		p.Feed(buf[:n])
		for {
			m, err := p.Next()
			if err != nil {
				return
			}
			if m == nil {
				break
			}
			out := answer(m)
			if out == nil {
				return
			}
			if _, err := c.Write(transport.AppendResponse(nil, out)); err != nil {
				return
			}
		}
	}
}

// TestResponsesGiveTypedErrors: each error status of the store results in its own typed
// error. A missing response means an unknown outcome, so its error is neither ErrRefused
// (not executed) nor ErrConflict.
func TestResponsesGiveTypedErrors(t *testing.T) {
	var next *transport.Message
	s := NewClient(serve(t, func(*transport.Message) *transport.Message { return next }), 1e6, 1e6, 1)
	ctx := context.Background()
	txn := protocol.Transaction{Changes: []protocol.Change{{Put: "a", Value: 1}}}
	for _, tc := range []struct {
		status int
		want   error
	}{
		{409, serviceclient.ErrConflict},
		{429, serviceclient.ErrRefused},
		{503, serviceclient.ErrRefused},
		{400, serviceclient.ErrMalformed},
		{404, serviceclient.ErrNotFound},
		{410, serviceclient.ErrCompacted},
	} {
		next = &transport.Message{Status: tc.status}
		if _, err := s.CompareAndSwap(ctx, txn, PriorityHigh); !errors.Is(err, tc.want) {
			t.Errorf("status %d: %v", tc.status, err)
		}
	}
	next = nil
	_, err := s.CompareAndSwap(ctx, txn, PriorityHigh)
	if err == nil || errors.Is(err, serviceclient.ErrRefused) || errors.Is(err, serviceclient.ErrConflict) {
		t.Errorf("no response: %v, want an unknown outcome", err)
	}
	next = &transport.Message{Status: 410}
	if _, err := s.Watch(ctx, "c/", 1, time.Millisecond); !errors.Is(err, serviceclient.ErrCompacted) {
		t.Errorf("watch: %v", err)
	}
	next = &transport.Message{Status: 200, Body: []byte("\xff\xff")}
	if _, err := s.Get(ctx, "a"); err == nil {
		t.Error("a malformed response was accepted")
	}
}

// TestWatchesAreRateLimited: while many records change, each watch ends at once. The next
// watch is opened at a limited rate, since otherwise the watches would use up the rate
// that the renewal of leases needs.
func TestWatchesAreRateLimited(t *testing.T) {
	s := NewClient("127.0.0.1:1", 120, 40, 3)
	opened := 0
	for now := time.Unix(0, 0); now.Before(time.Unix(10, 0)); now = now.Add(time.Millisecond) {
		if s.watchLimiter.AllowN(now, 1) {
			opened++
		}
	}
	if opened < 80 || opened > 100 {
		t.Errorf("%d watches in 10 s with an allotment of 36 requests a second, want 80 to 100", opened)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := s.Watch(ctx, "c/", 1, time.Second); !errors.Is(err, context.Canceled) {
		t.Errorf("watch: %v", err)
	}
}

// TestScarceWritesGoToHighPriority: when the budget of writes runs short, transactions of
// low priority (bitmaps) are refused first, then those of normal priority (registrations
// of machines), and those of high priority (users wait for them) last. A full burst of one
// write is available to every priority.
func TestScarceWritesGoToHighPriority(t *testing.T) {
	body, err := protocol.Encode(map[string]any{"ledgerline": 1})
	if err != nil {
		t.Fatal(err)
	}
	addr := serve(t, func(*transport.Message) *transport.Message { return &transport.Message{Status: 200, Body: body} })
	for p, want := range map[Priority]int{PriorityHigh: 20, PriorityNormal: 15, PriorityLow: 10} {
		s := NewClient(addr, 1e6, 1e6, 1)
		s.budget.writes = rate.NewLimiter(0, 20) // a full burst that is not refilled
		done := 0
		for range 40 {
			if _, err := s.CompareAndSwap(context.Background(), protocol.Transaction{Changes: []protocol.Change{{Put: "a", Value: 1}}}, p); err == nil {
				done++
			}
		}
		if done != want {
			t.Errorf("priority %d: %d transactions executed of a burst of 20, want %d", p, done, want)
		}
		s.budget.writes = rate.NewLimiter(0, 1)
		if _, err := s.CompareAndSwap(context.Background(), protocol.Transaction{Changes: []protocol.Change{{Put: "a", Value: 1}}}, p); err != nil {
			t.Errorf("priority %d: refused with a full burst of one: %v", p, err)
		}
	}
}

// TestRequestsOverBudgetAreRefused: requests beyond this controller's allotment are
// refused at once and not sent, but a lease is renewed nevertheless.
func TestRequestsOverBudgetAreRefused(t *testing.T) {
	body, err := protocol.Encode(map[string]any{"ledgerline": 1})
	if err != nil {
		t.Fatal(err)
	}
	received := 0
	s := NewClient(serve(t, func(*transport.Message) *transport.Message {
		received++
		return &transport.Message{Status: 200, Body: body}
	}), 3, 30, 3)
	refused := 0
	for range 40 {
		if _, err := s.Get(context.Background(), "a"); errors.Is(err, serviceclient.ErrRefused) {
			refused++
		}
	}
	if received > 20 || refused < 20 {
		t.Errorf("%d requests sent and %d refused with an allotment of about one a second", received, refused)
	}
	if err := s.KeepAlive(context.Background(), 1); err != nil {
		t.Errorf("renewal of a lease: %v", err)
	}
}
