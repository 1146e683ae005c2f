package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// proxy forwards the connections from one controller to another.
type proxy struct {
	addr, target string
	mu           sync.Mutex
	mode         string // "", refuse, hold, drop, reset
	conns        map[*pipe]bool
	ln           net.Listener
}

type pipe struct {
	p        *proxy
	up, down net.Conn
	dead     bool // accepted during a cut: never forwarded
}

func newProxy() *proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	p := &proxy{addr: ln.Addr().String(), ln: ln, conns: map[*pipe]bool{}}
	go p.serve()
	return p
}

func (p *proxy) get() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) set(mode string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == "refuse" || mode == "reset" {
		for c := range p.conns {
			c.close(true)
		}
	}
}

func (c *pipe) close(reset bool) {
	for _, x := range []net.Conn{c.up, c.down} {
		if tc, ok := x.(*net.TCPConn); ok && tc != nil {
			if reset {
				_ = tc.SetLinger(0)
			}
			_ = tc.Close()
		}
	}
}

func (p *proxy) serve() {
	for {
		conn, err := p.ln.Accept()
		if err != nil {
			return
		}
		mode := p.get()
		if mode == "refuse" || mode == "reset" {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			continue
		}
		if mode == "hold" || mode == "drop" {
			go func() { // silent, and it does not come to life later
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
			}()
			continue
		}
		up, err := net.DialTimeout("tcp", p.target, time.Second)
		if err != nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			continue
		}
		c := &pipe{p: p, up: up, down: conn}
		p.mu.Lock()
		p.conns[c] = true
		p.mu.Unlock()
		go c.copy(up, conn)
		go c.copy(conn, up)
	}
}

func (c *pipe) copy(to, from net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		for {
			mode := c.p.get()
			if mode == "drop" {
				n = 0
				c.dead = true
				break
			}
			if mode != "hold" {
				break
			}
			time.Sleep(5 * time.Millisecond) // what was sent before arrives when the cut is over
		}
		if n > 0 && !c.dead {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			if tc, ok := to.(*net.TCPConn); ok {
				_ = tc.CloseWrite()
			}
			c.p.mu.Lock()
			delete(c.p.conns, c)
			c.p.mu.Unlock()
			_ = from.Close()
			return
		}
	}
}

type node struct {
	name, zone  string
	serve, peer string
	settings    string
	cmd         *exec.Cmd
	cmdMu       sync.Mutex
	exited      chan struct{}
	link        *nodeLink
	state       *stateLink
	ended       bool // the case has ended it, or is about to
	paused      bool
}

type cluster struct {
	w       *world
	state   *state
	cloud   *cloud
	nodes   []*node
	proxies [][]*proxy // [from][to]
	dir     string
	run     []string
	params  m
	log     *os.File
	healthy []boolFlag
}

// freeAddr returns a free address below the ports that outgoing connections get, so that it is
// still free when a controller is started again.
func freeAddr() string {
	for range 1000 {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000)))
		if err == nil {
			defer ln.Close()
			return ln.Addr().String()
		}
	}
	fatal("no free port")
	return ""
}

// newCluster starts the services and writes the settings of the controllers.
func newCluster(w *world, params m, zones []string) *cluster {
	c := &cluster{w: w, params: params}
	st := params["state"].(m)
	c.state = newState(st["rps"].(float64), st["write_rps"].(float64), st["value_kb"].(float64), st["txn_ops"].(int))
	c.cloud = &cloud{w: w, rps: bucket{rate: params["cloud"].(m)["rps"].(float64)}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	go func() { _ = (&http.Server{Handler: c.cloud}).Serve(ln) }()
	deploy, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		fatal(err)
	}
	var service struct {
		Run string `toml:"run"`
	}
	if err := toml.Unmarshal(deploy, &service); err != nil || service.Run == "" {
		fatal("deploy/service.toml names no run command", err)
	}
	c.run = strings.Fields(service.Run)
	if c.dir, err = os.MkdirTemp("", "review-"); err != nil {
		fatal(err)
	}
	if c.log, err = os.Create(filepath.Join(c.dir, "log")); err != nil {
		fatal(err)
	}
	for i, zone := range zones {
		n := &node{name: fmt.Sprintf("keelhand-%d", i), zone: zone, serve: freeAddr(), peer: freeAddr()}
		n.link = &nodeLink{name: n.name, addr: n.serve}
		n.state = c.state.listen(i)
		c.nodes = append(c.nodes, n)
		w.links = append(w.links, n.link)
	}
	for i := range c.nodes {
		c.proxies = append(c.proxies, make([]*proxy, len(c.nodes)))
		for j, to := range c.nodes {
			if i != j {
				c.proxies[i][j] = newProxy()
				c.proxies[i][j].target = to.peer
			}
		}
	}
	for i, n := range c.nodes {
		members := []m{}
		for j, o := range c.nodes {
			if i != j {
				members = append(members, m{"host_name": o.name, "domain": o.zone, "peer_addr": c.proxies[i][j].addr})
			}
		}
		b, err := toml.Marshal(m{"host_name": n.name, "domain": n.zone, "serve_on": n.serve, "peer_bind": n.peer, "members": members,
			"services": m{"cloud": ln.Addr().String(), "state": n.state.addr}, "settings": params})
		if err != nil {
			fatal(err)
		}
		n.settings = filepath.Join(c.dir, n.name+".toml")
		if err := os.WriteFile(n.settings, b, 0o600); err != nil {
			fatal(err)
		}
	}
	return c
}

func (c *cluster) logf(format string, args ...any) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.w.logf(format, args...)
}

func (c *cluster) start(i int) {
	n := c.nodes[i]
	n.cmdMu.Lock()
	defer n.cmdMu.Unlock()
	cmd := exec.Command(c.run[0], append(append([]string{}, c.run[1:]...), n.settings)...)
	cmd.Stderr = c.log
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel)
	if perNodeLogs != "" {
		f, _ := os.OpenFile(filepath.Join(perNodeLogs, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		cmd.Stderr = f
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setsid: true}
	started := make(chan error)
	exited := make(chan struct{})
	go func() {
		// Pdeathsig belongs to the thread that starts the process.
		lockThread()
		err := cmd.Start()
		started <- err
		if err != nil {
			return
		}
		err = cmd.Wait()
		n.cmdMu.Lock()
		expected := n.ended
		n.cmdMu.Unlock()
		c.w.mu.Lock()
		if !expected {
			c.w.breaks("crash", "controller %s ended by itself: %v", n.name, err)
		}
		c.w.mu.Unlock()
		close(exited)
	}()
	if err := <-started; err != nil {
		fatal(err)
	}
	n.cmd, n.ended, n.exited = cmd, false, exited
	c.logf("started %s", n.name)
}

func (c *cluster) signal(i int, sig syscall.Signal, ends bool) {
	n := c.nodes[i]
	n.cmdMu.Lock()
	if ends {
		n.ended = true
	}
	cmd, exited := n.cmd, n.exited
	n.cmdMu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(sig)
	c.logf("sent %v to %s", sig, n.name)
	if ends {
		select {
		case <-exited:
		case <-time.After(15 * time.Second):
			c.w.mu.Lock()
			c.w.breaks("hang", "controller %s did not end within 15 s of %v", n.name, sig)
			c.w.mu.Unlock()
			_ = cmd.Process.Kill()
			<-exited
		}
	}
}

func (c *cluster) kill(i int) { c.signal(i, syscall.SIGKILL, true) }

func (c *cluster) end() {
	for i, n := range c.nodes {
		if n.cmd != nil {
			n.cmdMu.Lock()
			n.ended = true
			n.cmdMu.Unlock()
			_ = n.cmd.Process.Signal(syscall.SIGKILL)
			<-c.nodes[i].exited
		}
	}
	_ = os.RemoveAll(c.dir)
}

func (c *cluster) up(i int) bool {
	status, _, _ := call(http.DefaultClient, time.Second, "GET", "http://"+c.nodes[i].serve+"/up", nil)
	return status == 200
}

// waitUp waits until all controllers are healthy.
func (c *cluster) waitUp(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for i := range c.nodes {
			if c.up(i) {
				ready++
			}
		}
		if ready == len(c.nodes) {
			return true
		}
	}
	return false
}

// cutPeers sets the mode of the links between a controller and all others, in both directions.
func (c *cluster) cutPeers(i int, mode string) {
	for j := range c.nodes {
		if j != i {
			c.proxies[i][j].set(mode)
			c.proxies[j][i].set(mode)
		}
	}
}
