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

// serve answers each connection's requests with what answer says; no message
// closes the connection without an answer.
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

// TestResponsesGiveTypedErrors: each status of the store, and a missing response, gives
// an error of its own; only ErrRefused says that the request was not executed.
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
		t.Errorf("no answer: %v, want an unknown outcome", err)
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

// TestWatchesAreRateLimited: a watch that ends at once, as each does while many records
// change, is not opened again at once: leases would not be renewed.
func TestWatchesAreRateLimited(t *testing.T) {
	s := NewClient("127.0.0.1:1", 120, 40, 3)
	opened := 0
	for now := time.Unix(0, 0); now.Before(time.Unix(10, 0)); now = now.Add(time.Millisecond) {
		if s.opens.AllowN(now, 1) {
			opened++
		}
	}
	if opened < 80 || opened > 100 {
		t.Errorf("%d watches in 10 s, of 36 requests a second that are this controller's", opened)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := s.Watch(ctx, "c/", 1, time.Second); !errors.Is(err, context.Canceled) {
		t.Errorf("watch: %v", err)
	}
}

// TestScarceChangesGoToHighPrecedence: when the budget of changes runs short, bitmaps are
// refused first, then machines, and what users wait for last.
func TestScarceChangesGoToHighPrecedence(t *testing.T) {
	body, err := protocol.Encode(map[string]any{"ledgerline": 1})
	if err != nil {
		t.Fatal(err)
	}
	addr := serve(t, func(*transport.Message) *transport.Message { return &transport.Message{Status: 200, Body: body} })
	for p, want := range map[Priority]int{PriorityHigh: 20, PriorityNormal: 15, PriorityLow: 10} {
		s := NewClient(addr, 1e6, 1e6, 1)
		s.budget.writes = rate.NewLimiter(0, 20) // full, and nothing comes back
		done := 0
		for range 40 {
			if _, err := s.CompareAndSwap(context.Background(), protocol.Transaction{Changes: []protocol.Change{{Put: "a", Value: 1}}}, p); err == nil {
				done++
			}
		}
		if done != want {
			t.Errorf("precedence %d: %d done of a burst of 20, want %d", p, done, want)
		}
		s.budget.writes = rate.NewLimiter(0, 1)
		if _, err := s.CompareAndSwap(context.Background(), protocol.Transaction{Changes: []protocol.Change{{Put: "a", Value: 1}}}, p); err != nil {
			t.Errorf("precedence %d: never done with a burst of one: %v", p, err)
		}
	}
}

// TestRequestsOverBudgetAreRefused: requests beyond this controller's allotment are
// refused at once and not sent; the lease is renewed nevertheless.
func TestRequestsOverBudgetAreRefused(t *testing.T) {
	body, err := protocol.Encode(map[string]any{"ledgerline": 1})
	if err != nil {
		t.Fatal(err)
	}
	asked := 0
	s := NewClient(serve(t, func(*transport.Message) *transport.Message {
		asked++
		return &transport.Message{Status: 200, Body: body}
	}), 3, 30, 3)
	refused := 0
	for range 40 {
		if _, err := s.Get(context.Background(), "a"); errors.Is(err, serviceclient.ErrRefused) {
			refused++
		}
	}
	if asked > 20 || refused < 20 {
		t.Errorf("%d asked, %d refused, of one a second", asked, refused)
	}
	if err := s.KeepAlive(context.Background(), 1); err != nil {
		t.Errorf("renewal: %v", err)
	}
}
