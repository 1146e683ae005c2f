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

// Client sends requests to one address over kept connections.
type Client struct {
	addr        string
	dialTimeout time.Duration
	keep        time.Duration

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net    net.Conn
	parser *Parser
	last   time.Time
	buf    [8 << 10]byte
}

// maxIdle is how many unused connections are kept to an address.
const maxIdle = 8

// NewClient makes a client of addr.
func NewClient(addr string) *Client {
	return &Client{addr: addr, dialTimeout: time.Second, keep: 20 * time.Second}
}

// Do sends a request and waits for its answer until ctx ends. After an error
// it is not known whether the request was executed, or still will be.
func (c *Client) Do(ctx context.Context, method, target string, body []byte) (*Message, error) {
	cc, err := c.get(ctx)
	if err != nil {
		return nil, fmt.Errorf("%s %s%s: %w", method, c.addr, target, err)
	}
	m, err := cc.roundTrip(ctx, AppendRequest(nil, method, c.addr, target, body))
	if err != nil {
		cc.net.Close()
		return nil, fmt.Errorf("%s %s%s: %w", method, c.addr, target, err)
	}
	if m.Close {
		cc.net.Close()
	} else {
		c.put(cc)
	}
	return m, nil
}

func (c *Client) get(ctx context.Context) (*clientConn, error) {
	now := time.Now()
	c.mu.Lock()
	for len(c.idle) > 0 {
		cc := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if now.Sub(cc.last) < c.keep {
			c.mu.Unlock()
			return cc, nil
		}
		cc.net.Close()
	}
	c.mu.Unlock()
	d := net.Dialer{Timeout: c.dialTimeout, KeepAlive: -1}
	n, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{net: n, parser: NewResponseParser()}, nil
}

func (c *Client) put(cc *clientConn) {
	cc.last = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= maxIdle {
		cc.net.Close()
		return
	}
	c.idle = append(c.idle, cc)
}

// Forget closes the kept connections, after one of them proved dead.
func (c *Client) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cc := range c.idle {
		cc.net.Close()
	}
	c.idle = nil
}

func (cc *clientConn) roundTrip(ctx context.Context, request []byte) (*Message, error) {
	if deadline, ok := ctx.Deadline(); ok {
		if err := cc.net.SetDeadline(deadline); err != nil {
			return nil, err
		}
	}
	if _, err := cc.net.Write(request); err != nil {
		return nil, err
	}
	for {
		n, err := cc.net.Read(cc.buf[:])
		cc.parser.Feed(cc.buf[:n])
		m, perr := cc.parser.Next()
		switch {
		case perr != nil:
			return nil, perr
		case m != nil && m.Status/100 == 1:
			continue
		case m != nil:
			if cc.parser.Partial() {
				m.Close = true // more than was asked for: not to be trusted further
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
