package transport

import (
	"context"
	"errors"
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
