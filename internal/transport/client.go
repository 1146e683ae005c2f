package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	// idleConnTimeout is how long after its last response a connection may be used again.
	idleConnTimeout = 20 * time.Second
	// maxIdleConns is the maximum number of idle connections that a client keeps open.
	maxIdleConns = 8
	// readSize is the size of the read buffer of a connection, in bytes.
	readSize = 8 << 10
)

// Client sends HTTP requests to one address and reuses its connections. It is safe for
// concurrent use: concurrent requests use different connections.
type Client struct {
	addr string

	mu   sync.Mutex
	idle []*clientConn
}

// clientConn is one connection of a client. It carries one request at a time.
type clientConn struct {
	conn     net.Conn
	parser   *Parser
	lastUsed time.Time
	buf      [readSize]byte
}

// close closes the connection. It ignores the error because the connection is not used
// any more.
func (cc *clientConn) close() { _ = cc.conn.Close() }

// interrupt makes the reads and writes of a request in progress fail at once. The connection
// can't be reused. An error means that the connection is closed, which has the same effect.
func (cc *clientConn) interrupt() { _ = cc.conn.SetDeadline(time.Unix(1, 0)) }

// NewClient returns a client that sends its requests to addr.
func NewClient(addr string) *Client { return &Client{addr: addr} }

// Do sends a request and waits for its response until ctx ends. The target is the path with the
// query. A response with any status is no error. After an error the outcome is unknown: the
// server may have executed the request, or may still execute it.
func (c *Client) Do(ctx context.Context, method, target string, body []byte) (*Message, error) {
	cc, err := c.connection(ctx)
	if err != nil {
		return nil, fmt.Errorf("%s %s%s: %w", method, c.addr, target, err)
	}
	stopInterrupt := context.AfterFunc(ctx, cc.interrupt)
	m, err := cc.roundTrip(ctx, AppendRequest(nil, method, c.addr, target, body))
	interrupted := !stopInterrupt()
	if err != nil {
		cc.close()
		if ended := ctx.Err(); ended != nil {
			err = ended // the cause of the failed read or write
		}
		return nil, fmt.Errorf("%s %s%s: %w", method, c.addr, target, err)
	}
	if m.Close || interrupted {
		cc.close()
	} else {
		c.release(cc)
	}
	return m, nil
}

// connection returns an idle connection, or opens a new one within dialTimeout if there is none
// that may be reused.
func (c *Client) connection(ctx context.Context) (*clientConn, error) {
	if cc := c.takeIdle(time.Now()); cc != nil {
		return cc, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return nil, err //nolint:wrapcheck // Do wraps it with the request and the address
	}
	return &clientConn{conn: conn, parser: NewResponseParser()}, nil
}

// takeIdle removes and returns the most recently used idle connection, or nil if there is
// none. It closes connections that were idle for idleConnTimeout.
func (c *Client) takeIdle(now time.Time) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		cc := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if now.Sub(cc.lastUsed) < idleConnTimeout {
			return cc
		}
		cc.close()
	}
	return nil
}

// release adds a connection to the idle ones, or closes it if there are maxIdleConns already.
func (c *Client) release(cc *clientConn) {
	cc.lastUsed = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= maxIdleConns {
		cc.close()
		return
	}
	c.idle = append(c.idle, cc)
}

// CloseIdleConnections closes the idle connections. Callers call it after a failed
// request, because the other connections to the server are probably broken too.
func (c *Client) CloseIdleConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cc := range c.idle {
		cc.close()
	}
	c.idle = nil
}

// roundTrip sends an encoded request and reads its final response; it skips interim ones
// (status 1xx). The connection must not be used any more after an error.
//
//nolint:wrapcheck // Do wraps all errors with the request and the address
func (cc *clientConn) roundTrip(ctx context.Context, request []byte) (*Message, error) {
	if deadline, ok := ctx.Deadline(); ok {
		if err := cc.conn.SetDeadline(deadline); err != nil {
			return nil, err
		}
	}
	if err := ctx.Err(); err != nil {
		return nil, err // interrupt may have come before the deadline was set
	}
	if _, err := cc.conn.Write(request); err != nil {
		return nil, err
	}
	for {
		n, err := cc.conn.Read(cc.buf[:])
		cc.parser.Feed(cc.buf[:n])
		m, parseErr := cc.parser.Next()
		switch {
		case parseErr != nil:
			return nil, parseErr
		case m != nil && isInformational(m.Status):
			continue
		case m != nil:
			if cc.parser.Partial() {
				m.Close = true // the connection can't be reused: unexpected bytes follow the response
			}
			return m, nil
		case errors.Is(err, io.EOF):
			if m := cc.parser.EOF(); m != nil {
				return m, nil
			}
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}
