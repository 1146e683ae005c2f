package main

import (
	"net"
	"sync"
	"time"
)

// Proxy forwards TCP connections to an address. It can refuse them, or hold back what they carry.
type Proxy struct {
	Addr   string
	target string

	mu    sync.Mutex
	mode  string // "", "refuse" or "hold"
	conns map[net.Conn]bool
}

// NewProxy starts a proxy for an address.
func NewProxy(target string) *Proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	p := &Proxy{Addr: l.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

// Set sets the mode. Refusing resets the connections that are open.
func (p *Proxy) Set(mode string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == "refuse" {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *Proxy) get() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) serve(c net.Conn) {
	if p.get() == "refuse" {
		reset(c)
		return
	}
	for p.get() == "hold" {
		time.Sleep(20 * time.Millisecond)
	}
	d, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[d] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	pipe := func(from, to net.Conn) {
		defer wg.Done()
		buf := make([]byte, 64<<10)
		for {
			n, err := from.Read(buf)
			for p.get() == "hold" {
				time.Sleep(20 * time.Millisecond)
			}
			if n > 0 {
				if _, werr := to.Write(buf[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		if t, ok := to.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}
	wg.Add(2)
	go pipe(c, d)
	go pipe(d, c)
	wg.Wait()
	_ = c.Close()
	_ = d.Close()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, d)
	p.mu.Unlock()
}
