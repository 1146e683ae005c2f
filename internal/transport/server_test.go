package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

// startServer starts a server on loopback and returns its address.
func startServer(t *testing.T, h Handler, maxConns int) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	ready := make(chan struct{})
	s := NewServer(h, maxConns, slog.New(slog.DiscardHandler))
	go s.Serve(addr, func() { close(ready) })
	<-ready
	return addr
}

// echo is a Handler that replies with the body of the request. For the path /later it
// replies from another goroutine.
func echo(m *Message, reply Reply) {
	if m.Path == "/later" {
		go reply(&Message{Status: 200, Body: m.Body})
		return
	}
	reply(&Message{Status: 200, Body: m.Body})
}

// testContext returns a context that bounds the run time of a test.
func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// TestServerSendsImmediateAndLaterReplies checks that replies sent inside and outside the
// handler are received on the same connection, with bodies of nearly the maximum size.
func TestServerSendsImmediateAndLaterReplies(t *testing.T) {
	c := NewClient(startServer(t, echo, 10))
	ctx := testContext(t)
	for i, path := range []string{"/now", "/later", "/later", "/now"} {
		body := strings.Repeat("x", i*20000)
		m, err := c.Do(ctx, "POST", path, []byte(body))
		if err != nil || m.Status != 200 || string(m.Body) != body {
			t.Fatalf("%s: %v", path, err)
		}
	}
	if len(c.idle) != 1 {
		t.Errorf("%d idle connections, want 1", len(c.idle))
	}
}

// TestServerRejectsMalformedRequests checks the status code of the response to a malformed
// request, and that the server closes the connection after it.
func TestServerRejectsMalformedRequests(t *testing.T) {
	addr := startServer(t, echo, 10)
	for request, status := range map[string]string{
		"nonsense\r\n\r\n": "400",
		"POST /now HTTP/1.1\r\nContent-Length: 70000\r\n\r\n":               "413",
		"GET / HTTP/1.1\r\nX: " + strings.Repeat("y", MaxHead) + "\r\n\r\n": "431",
	} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(20 * time.Second))
		fmt.Fprint(c, request)
		b, err := io.ReadAll(c)
		if err != nil || !strings.HasPrefix(string(b), "HTTP/1.1 "+status) {
			t.Errorf("%.20q: %.40q, %v", request, b, err)
		}
		c.Close()
	}
}

// TestServerEvictsIdleConnections checks that a server at its connection limit closes the
// connection that was idle longest and serves the new one.
func TestServerEvictsIdleConnections(t *testing.T) {
	addr := startServer(t, echo, 3)
	var conns []net.Conn
	for range 6 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns = append(conns, c)
		cc := &clientConn{conn: c, parser: NewResponseParser()}
		if _, err := cc.roundTrip(testContext(t), AppendRequest(nil, "GET", "h", "/now", nil)); err != nil {
			t.Fatal(err)
		}
	}
	conns[0].SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := conns[0].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read from the connection that was idle longest: %v, want EOF", err)
	}
}
