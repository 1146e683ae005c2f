package transport

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// acceptRetry is the delay after a failure before the server accepts the next connection of a
// peer.
const acceptRetry = 100 * time.Millisecond

// ErrTimeout reports that a peer did not respond within the timeout of a call, or that no
// connection to it was opened by another call in that time.
var ErrTimeout = errors.New("peer did not answer in time")

// ServePeers registers service under name and serves the calls of other controllers on
// addr, with net/rpc. It returns once it listens, and serves until the process ends.
func ServePeers(addr, name string, service any, log *slog.Logger) error {
	server := rpc.NewServer()
	if err := server.RegisterName(name, service); err != nil {
		return fmt.Errorf("register %s: %w", name, err)
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	go acceptPeers(ln, server, log)
	return nil
}

func acceptPeers(ln net.Listener, server *rpc.Server, log *slog.Logger) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			log.Error("failed to accept a peer's connection", "err", err)
			time.Sleep(acceptRetry)
			continue
		}
		go server.ServeConn(conn)
	}
}

// Peer is a client of one other controller. All calls share one connection, which is opened by
// the first one and after an error. It is safe for concurrent use.
type Peer struct {
	addr string
	dial func(addr string, timeout time.Duration) (net.Conn, error)

	mu      sync.Mutex
	client  *rpc.Client
	dialing chan struct{} // closed when the current connection attempt ends; nil if there is none
}

// NewPeer returns a client of the controller at addr.
func NewPeer(addr string) *Peer {
	return &Peer{addr: addr, dial: func(addr string, timeout time.Duration) (net.Conn, error) {
		return net.DialTimeout("tcp", addr, timeout)
	}}
}

// Call calls a method of the peer and stores its result in reply. It waits at most timeout for
// a connection, and as long again for the reply. After an error the outcome is unknown: the
// peer may have executed the call. After any error but one that the method returned, the
// connection is closed.
func (p *Peer) Call(method string, args, reply any, timeout time.Duration) error {
	client, err := p.connect(timeout)
	if err != nil {
		return err
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		err = call.Error
	case <-timer.C:
		err = ErrTimeout
	}
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if !errors.As(err, &remote) {
		p.drop(client)
	}
	return fmt.Errorf("call %s of %s: %w", method, p.addr, err)
}

// connect returns the connection, and opens it if necessary. Concurrent calls share one
// connection attempt, and each waits for it no longer than its own timeout. If each call
// made its own attempt, one after the other, the last call to an unreachable peer would
// fail only after the sum of all timeouts.
func (p *Peer) connect(timeout time.Duration) (*rpc.Client, error) {
	p.mu.Lock()
	if p.client != nil {
		defer p.mu.Unlock()
		return p.client, nil
	}
	if dialing := p.dialing; dialing != nil {
		p.mu.Unlock()
		return p.awaitConnection(dialing, timeout)
	}
	done := make(chan struct{})
	p.dialing = done
	p.mu.Unlock()
	conn, err := p.dial(p.addr, timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing = nil
	close(done)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", p.addr, err)
	}
	p.client = rpc.NewClient(conn)
	return p.client, nil
}

// awaitConnection waits at most timeout for the connection attempt of another call, which ends
// when done is closed, and returns its connection. It returns ErrTimeout if there is none.
func (p *Peer) awaitConnection(done <-chan struct{}, timeout time.Duration) (*rpc.Client, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == nil {
		return nil, fmt.Errorf("peer %s: %w", p.addr, ErrTimeout)
	}
	return p.client, nil
}

// drop closes the connection of client after an error, so that the next call opens a new one.
// A newer connection of another call is left open.
func (p *Peer) drop(client *rpc.Client) {
	p.mu.Lock()
	if p.client == client {
		p.client = nil
	}
	p.mu.Unlock()
	_ = client.Close() // fails if a concurrent call has closed it already
}
