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

// ErrTimeout says that a peer did not answer in time.
var ErrTimeout = errors.New("peer did not answer in time")

// ServePeers answers peers' calls to service, registered as name, on addr.
func ServePeers(addr, name string, service any, log *slog.Logger) error {
	server := rpc.NewServer()
	if err := server.RegisterName(name, service); err != nil {
		return fmt.Errorf("register %s: %w", name, err)
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				log.Error("accepting a peer failed", "err", err)
				time.Sleep(100 * time.Millisecond)
				continue
			}
			go server.ServeConn(c)
		}
	}()
	return nil
}

// Peer calls one other controller, over one connection at a time.
type Peer struct {
	addr string
	dial func(addr string, timeout time.Duration) (net.Conn, error)

	mu      sync.Mutex
	client  *rpc.Client
	dialing chan struct{} // closed when the connection under way is there or has failed
}

// NewPeer makes a caller of addr.
func NewPeer(addr string) *Peer {
	return &Peer{addr: addr, dial: func(addr string, timeout time.Duration) (net.Conn, error) {
		return net.DialTimeout("tcp", addr, timeout)
	}}
}

// Call calls method and waits at most timeout. After an error it is not known
// whether the call was executed.
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
	var remote rpc.ServerError
	if err != nil && !errors.As(err, &remote) {
		p.drop(client)
	}
	if err != nil {
		return fmt.Errorf("call %s of %s: %w", method, p.addr, err)
	}
	return nil
}

// connect returns the connection. Calls at the same time wait for one that is
// being made together, each no longer than its own timeout: one after the other
// they would wait for a silent peer many times as long.
func (p *Peer) connect(timeout time.Duration) (*rpc.Client, error) {
	p.mu.Lock()
	if p.client != nil {
		defer p.mu.Unlock()
		return p.client, nil
	}
	if others := p.dialing; others != nil {
		p.mu.Unlock()
		return p.connected(others, timeout)
	}
	done := make(chan struct{})
	p.dialing = done
	p.mu.Unlock()
	c, err := p.dial(p.addr, timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing = nil
	close(done)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", p.addr, err)
	}
	p.client = rpc.NewClient(c)
	return p.client, nil
}

// connected waits for the connection that another call makes.
func (p *Peer) connected(done <-chan struct{}, timeout time.Duration) (*rpc.Client, error) {
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

func (p *Peer) drop(client *rpc.Client) {
	p.mu.Lock()
	if p.client == client {
		p.client = nil
	}
	p.mu.Unlock()
	client.Close()
}
