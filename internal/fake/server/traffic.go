package server

import (
	"maps"
	"net"
	"net/http"
	"sync"
)

// Flow counts the messages of one kind and their bytes. BytesIn were received and BytesOut sent
// by the process that counts.
type Flow struct {
	Messages uint64 `json:"messages"`
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
}

// Traffic counts messages and bytes by kind. It is safe for concurrent use.
type Traffic struct {
	mu    sync.Mutex
	flows map[string]Flow
}

// NewTraffic returns a Traffic without any counts.
func NewTraffic() *Traffic { return &Traffic{flows: map[string]Flow{}} }

// Add adds messages of a kind and their bytes to the counts.
func (t *Traffic) Add(kind string, messages, bytesIn, bytesOut int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[kind]
	f.Messages += uint64(messages)
	f.BytesIn += uint64(bytesIn)
	f.BytesOut += uint64(bytesOut)
	t.flows[kind] = f
}

// Flows returns a copy of the current counts by kind.
func (t *Traffic) Flows() map[string]Flow {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.flows)
}

// countedListener adds the bytes of all connections that it accepts to the traffic of a kind.
type countedListener struct {
	net.Listener
	kind    string
	traffic *Traffic
}

// Accept waits for the next connection and returns it as a countedConn.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // http.Server compares the errors of a listener
	}
	return countedConn{c, l.kind, l.traffic}, nil
}

// countedConn adds the bytes that a connection receives and sends to the traffic of a kind.
type countedConn struct {
	net.Conn
	kind    string
	traffic *Traffic
}

// Read reads from the connection and counts the bytes.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Add(c.kind, 0, n, 0)
	return n, err //nolint:wrapcheck // the errors of a connection are compared, such as io.EOF
}

// Write writes to the connection and counts the bytes.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Add(c.kind, 0, 0, n)
	return n, err //nolint:wrapcheck // the errors of a connection are compared, such as io.EOF
}

// countedWriter counts the bytes of the body of a response.
type countedWriter struct {
	http.ResponseWriter
	bytes int
}

// Write writes a part of the body and counts its bytes.
func (w *countedWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.bytes += n
	return n, err //nolint:wrapcheck // a writer passes on the errors of what it wraps
}
