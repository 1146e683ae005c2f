package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// TestRequestEndsWithItsContext checks that a request ends as soon as its context is cancelled,
// not at its deadline, and that its connection is not used again. It guards against work of an
// ended session: a cancelled watch was read to its end.
func TestRequestEndsWithItsContext(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	received := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Read(make([]byte, readSize))
		close(received)
		<-t.Context().Done() // never answered
	}()
	client := NewClient(listener.Addr().String())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	go func() {
		<-received
		cancel()
	}()
	startedAt := time.Now()
	if _, err := client.Do(ctx, "GET", "/follow", nil); !errors.Is(err, context.Canceled) {
		t.Errorf("the request ended with %v, want %v", err, context.Canceled)
	}
	if elapsed := time.Since(startedAt); elapsed > 10*time.Second {
		t.Errorf("the request ended %v after it was sent", elapsed)
	}
	if client.takeIdle(time.Now()) != nil {
		t.Error("the connection of an unanswered request may be used again")
	}
}

// slowDeadlineConn is a connection that sets a deadline in the future only after a while.
type slowDeadlineConn struct{ net.Conn }

func (c slowDeadlineConn) SetDeadline(t time.Time) error {
	if t.After(time.Now()) {
		time.Sleep(20 * time.Millisecond)
	}
	return c.Conn.SetDeadline(t)
}

// TestRequestOfEndedContextIsNotSent checks that a request whose context has ended already fails at
// once, also on a connection that is open. It guards against a deadline that replaces the
// interruption of the request, which then waits for that deadline.
func TestRequestOfEndedContextIsNotSent(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	go func() { _, _ = io.Copy(io.Discard, theirs) }() // reads the request and never answers
	client := NewClient("server")
	client.release(&clientConn{conn: slowDeadlineConn{ours}, parser: NewResponseParser()})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	cancel()
	startedAt := time.Now()
	if _, err := client.Do(ctx, "GET", "/follow", nil); !errors.Is(err, context.Canceled) {
		t.Errorf("the request ended with %v, want %v", err, context.Canceled)
	}
	if elapsed := time.Since(startedAt); elapsed > time.Second {
		t.Errorf("the request of an ended context took %v", elapsed)
	}
}
