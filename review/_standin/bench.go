package main

import (
	"bytes"
	"context"
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

	"damsonkeel/internal/config"
	"damsonkeel/internal/fake/server"
	"damsonkeel/internal/protocol"

	"github.com/pelletier/go-toml/v2"
)

// Bench is a small deployment on loopback: real controllers, and stand-ins for the store, the
// cloud, the workers and the users.
type Bench struct {
	Trouble bool
	Site    config.Site
	Store   *Store
	Nodes   []*Node

	began  time.Time
	dir    string
	record *os.File
	types  []protocol.TypeInfo
	cloud  *server.CloudService
	host   *server.Host

	mu         sync.Mutex
	jobs       map[protocol.JobID]protocol.Job
	terminated map[protocol.MachineID]bool
	instant    bool           // machines that are rented now are up at once
	Runs       []Run          // all starts so far
	running    map[runKey]int // index in Runs of what runs
	zones      map[protocol.MachineID]protocol.Zone
	Peers      map[string]*Proxy // by the names of both ends; used if ProxyPeers is set
	ProxyPeers bool
	quickBoot  bool  // rented machines are up within two seconds
	accepts    []Run // start commands that workers have accepted
	closing    bool
}

type runKey struct {
	machine protocol.MachineID
	task    protocol.TaskID
}

// Run is one start of a task on a machine. End is 0 while it runs.
type Run struct {
	Machine protocol.MachineID
	Task    protocol.TaskID
	Attempt protocol.Attempt
	Start   time.Duration
	End     time.Duration
	Cause   protocol.EndCause
}

// Node is a controller.
type Node struct {
	Name     string
	Serve    string
	PeerAddr string
	State    *Access
	StateWay *Proxy // between the controller and the store, if ProxyPeers is set
	settings string
	bench    *Bench
	cmd      *exec.Cmd
	client   *http.Client
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		killAll()
		os.Exit(2)
	}
}

var (
	startedMu sync.Mutex
	started   []*exec.Cmd
)

func killAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, c := range started {
		_ = c.Process.Kill()
	}
	for _, c := range started {
		_, _ = c.Process.Wait()
	}
	started = nil
}

// NewBench prepares a deployment like brandli-prueflabor, the smaller site of the pages. The
// record, record.txt in the case's folder, is appended to.
func NewBench(record string) *Bench {
	b := &Bench{
		Trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), jobs: map[protocol.JobID]protocol.Job{},
		terminated: map[protocol.MachineID]bool{}, running: map[runKey]int{}, zones: map[protocol.MachineID]protocol.Zone{},
	}
	var err error
	b.record, err = os.OpenFile(record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	check(err)
	b.dir, err = os.MkdirTemp("", "review-")
	check(err)
	b.Site = config.Site{
		Count: 3, Zones: []protocol.Zone{"raumost", "raumwest", "keller", "dachraum"}, ClockErrorMS: 100,
		Teams: []config.Team{
			{Name: "geraete", CPUs: 64, MaxCPUs: 264}, {Name: "firmware", CPUs: 56, MaxCPUs: 128},
			{Name: "kunden", CPUs: 80, MaxCPUs: 128}, {Name: "labor", CPUs: 48, MaxCPUs: 80}, {Name: "hochschule"},
		},
		Objectives: []config.Objective{
			{Kind: "wait", Class: "benchsweep", WithinS: 18, Share: 0.97}, {Kind: "finished", Class: "benchsweep", WithinS: 400, Share: 0.93},
			{Kind: "deadline", Class: "flashround", Share: 0.85, Times: 1}, {Kind: "guarantee", WithinS: 5, Share: 0.96},
		},
		Workers: config.Workers{ReportS: 4, LeaseS: 20, GangWaitS: 35, GangPeerS: 6, CancelS: 40},
		State:   config.State{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 6, ListLagS: 8},
		Limits:  config.Limits{CPU: 0.24, MemoryMB: 179, MaxConns: 2000},
	}
	b.types = []protocol.TypeInfo{
		{Name: "tischbox", CPUs: 8, MemoryGB: 32, Price: 0.3, SpotPrice: 0.07, CacheGB: 70, FetchGBPS: 1, BootS: 50, AllowZones: b.Site.Zones},
		{Name: "rackturm", CPUs: 16, MemoryGB: 32, Price: 0.5, SpotPrice: 0.13, CacheGB: 60, FetchGBPS: 0.4, BootS: 25, AllowZones: b.Site.Zones[1:]},
	}
	b.Logf("trouble %v", b.Trouble)
	return b
}

// Now returns the time since the start of the bench.
func (b *Bench) Now() time.Duration { return time.Since(b.began) }

// Logf writes a line to the record.
func (b *Bench) Logf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.logLocked(format, args...)
}

func (b *Bench) logLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(b.record, "%9.3f ", b.Now().Seconds())
	_, _ = fmt.Fprintf(b.record, format+"\n", args...)
}

// usedPorts keeps two addresses from getting one port.
var usedPorts = map[int]bool{}

func freeAddr() string {
	for port := 14000 + (os.Getpid()*37)%15000; ; port++ {
		if usedPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		usedPorts[port] = true
		return fmt.Sprintf("127.0.0.1:%d", port)
	}
}

// Start starts everything: the machines of the site that are up at the start, one of a type and
// zone in each of kinds, and the controllers.
func (b *Bench) Start(kinds []protocol.ProvisionRequest, capacity int) {
	b.Store = NewStore(b.Site.State.RPS, b.Site.State.WriteRPS, b.Now)
	addresses := map[protocol.NodeName]string{}
	for i := range b.Site.Count {
		n := &Node{Name: fmt.Sprintf("keelhand-%d", i), bench: b, Serve: freeAddr(), PeerAddr: freeAddr(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}}
		n.State = b.Store.For(n.Name)
		b.Nodes = append(b.Nodes, n)
		addresses[protocol.NodeName(n.Name)] = n.Serve
	}
	b.host = server.NewHost(server.HostConfig{
		Controllers: addresses, HeartbeatInterval: config.Seconds(b.Site.Workers.ReportS), LeaseTime: config.Seconds(b.Site.Workers.LeaseS),
		GangWait: config.Seconds(b.Site.Workers.GangWaitS), CachedImages: true,
		RunTime: func(j protocol.Job, _ protocol.TaskID) time.Duration { return config.Seconds(j.EstimateS) },
		Jobs:    b, Observer: b, Clock: b.Now, Results: map[protocol.TaskID]bool{},
	})
	var err error
	b.cloud, err = server.NewCloudService(server.Limits{Requests: b.Site.Cloud.RPS}, b.types, capacity, b, b.Now)
	check(err)
	b.instant = true
	for _, k := range kinds {
		b.cloud.Provision(k)
	}
	b.mu.Lock()
	b.instant = false
	b.mu.Unlock()
	for i, n := range b.Nodes {
		n.writeSettings(i)
		n.Start()
	}
}

func (n *Node) writeSettings(i int) {
	b := n.bench
	site := b.Site
	s := config.Settings{Name: protocol.NodeName(n.Name), Zone: site.Zones[i%len(site.Zones)], Listen: n.Serve, PeerBind: n.PeerAddr, Site: site}
	s.Services = config.Services{Cloud: b.cloud.Addr, State: n.stateAddr()}
	for j, other := range b.Nodes {
		if other != n {
			s.Members = append(s.Members, config.Member{Name: protocol.NodeName(other.Name), Zone: site.Zones[j%len(site.Zones)], Peer: b.peerAddr(n, other)})
		}
	}
	text, err := toml.Marshal(s)
	check(err)
	n.settings = filepath.Join(b.dir, n.Name+".toml")
	check(os.WriteFile(n.settings, text, 0o600))
}

// Start starts the controller's process with the command of the deploy file.
func (n *Node) Start() {
	run := "target/damsonkeel --config"
	if text, err := os.ReadFile("deploy/service.toml"); err == nil {
		var deploy struct {
			Run string `toml:"run"`
		}
		check(toml.Unmarshal(text, &deploy))
		run = deploy.Run
	}
	args := append(strings.Fields(run), n.settings)
	cmd := exec.Command(args[0], args[1:]...)
	level := os.Getenv("LOG_LEVEL")
	if level == "" {
		level = "info"
	}
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+level)
	logs := io.Discard
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		f, err := os.OpenFile(filepath.Join(dir, n.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		check(err)
		logs = f
	}
	cmd.Stderr = logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	startedMu.Lock()
	started = append(started, cmd)
	startedMu.Unlock()
	n.cmd = cmd
	n.bench.Logf("%s started", n.Name)
}

// Signal sends a signal to the controller's process.
func (n *Node) Signal(sig syscall.Signal) {
	n.bench.Logf("%s gets signal %v", n.Name, sig)
	_ = n.cmd.Process.Signal(sig)
}

// Up reports whether the controller's health check returns 200.
func (n *Node) Up() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Serve+"/up", nil)
	check(err)
	resp, err := n.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitUp waits until all given controllers are healthy; it ends the run with status 2 if they are not in time.
func (b *Bench) WaitUp(within time.Duration, nodes ...*Node) {
	deadline := time.Now().Add(within)
	for _, n := range nodes {
		for !n.Up() {
			if time.Now().After(deadline) {
				check(fmt.Errorf("%s is not healthy after %v", n.Name, within))
			}
			time.Sleep(100 * time.Millisecond)
		}
		b.Logf("%s is healthy", n.Name)
	}
}

// Reply is an answer to a user. Status is 0 without one.
type Reply struct {
	Status int
	protocol.JobStatus
	Error string
}

// Ask sends one request of a user to a controller.
func (n *Node) Ask(method, path string, body []byte, timeout time.Duration) Reply {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.Serve+path, bytes.NewReader(body))
	check(err)
	asked := n.bench.Now()
	var r Reply
	resp, err := n.client.Do(req)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			r.Status = resp.StatusCode
			if r.Status/100 == 2 {
				_ = protocol.Decode(text, &r.JobStatus)
			} else {
				var e protocol.ErrorBody
				_ = protocol.Decode(text, &e)
				r.Error = e.Error
			}
		}
	}
	n.bench.Logf("%s %s at %s, asked %.3f: %d %s %s", method, path, n.Name, asked.Seconds(), r.Status, r.State, r.Error)
	return r
}

// Submit submits a job through controllers in turn, as a user does, until it is accepted.
func (b *Bench) Submit(j protocol.Job, nodes ...*Node) bool {
	b.mu.Lock()
	b.jobs[j.ID] = j
	b.mu.Unlock()
	body, err := protocol.EncodeSubmission(j)
	check(err)
	for i := range 55 {
		r := nodes[i%len(nodes)].Ask(http.MethodPost, "/work", body, 5*time.Second)
		if r.Status == 200 || r.Status == 201 {
			return true
		}
		if r.Status == 400 || r.Status == 422 {
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// Cancel cancels a job through controllers in turn until it is answered, and returns the state that
// the user was told.
func (b *Bench) Cancel(id protocol.JobID, nodes ...*Node) protocol.JobState {
	for i := range 55 {
		if r := nodes[i%len(nodes)].Ask(http.MethodPost, "/work/"+string(id)+"/abort", nil, 5*time.Second); r.Status == 200 {
			return r.State
		}
		time.Sleep(time.Second)
	}
	return ""
}

// Poll asks a controller for a job.
func (n *Node) Poll(id protocol.JobID) Reply {
	return n.Ask(http.MethodGet, "/work/"+string(id), nil, 2*time.Second)
}

// Finish ends all processes and the program: with 1 if a rule was broken, else with 0.
func (b *Bench) Finish(broken []string) {
	for _, text := range broken {
		b.Logf("BROKEN %s", text)
	}
	if len(broken) == 0 {
		b.Logf("held")
	}
	b.mu.Lock()
	b.closing = true
	b.mu.Unlock()
	killAll()
	_ = os.RemoveAll(b.dir)
	_ = b.record.Close()
	if len(broken) > 0 {
		fmt.Println(broken[0])
		os.Exit(1)
	}
	fmt.Println("held")
	os.Exit(0)
}

// Describe returns the descriptions of jobs that users have uploaded.
func (b *Bench) Describe(ids []protocol.JobID) (map[protocol.JobID]protocol.Job, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := map[protocol.JobID]protocol.Job{}
	for _, id := range ids {
		if j, ok := b.jobs[id]; ok {
			found[id] = j
		}
	}
	return found, nil
}

// Provisioned boots a machine.
func (b *Bench) Provisioned(id protocol.MachineID, info protocol.TypeInfo, req protocol.ProvisionRequest) {
	start := func() {
		b.mu.Lock()
		gone := b.terminated[id]
		b.mu.Unlock()
		if !gone {
			check(b.host.StartMachine(id, info, req.Zone, req.Spot))
		}
	}
	b.mu.Lock()
	instant := b.instant
	b.mu.Unlock()
	if instant {
		start()
		return
	}
	b.Logf("rented %s %s in %s", id, info.Name, req.Zone)
	boot := config.Seconds(info.BootS)
	if b.quickBoot {
		boot = time.Duration(1000+rand.IntN(1000)) * time.Millisecond
	}
	time.AfterFunc(boot, start)
}

// Terminate ends machines with all that is on them.
func (b *Bench) Terminate(ids []protocol.MachineID) error {
	b.mu.Lock()
	for _, id := range ids {
		b.terminated[id] = true
		b.logLocked("returned %s", id)
	}
	b.mu.Unlock()
	b.host.StopMachines(ids...)
	return nil
}

// Machine returns a machine's entry in the cloud's list.
func (b *Bench) Machine(id protocol.MachineID) (server.MachineListing, bool) {
	return b.host.Machine(id)
}

// MachineUp records a machine.
func (b *Bench) MachineUp(id protocol.MachineID, info protocol.TypeInfo, zone protocol.Zone, _ bool, _ time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.zones[id] = zone
	b.logLocked("machine %s (%s in %s) is up", id, info.Name, zone)
}

// MachineLost ends what ran on a machine.
func (b *Bench) MachineLost(id protocol.MachineID, at time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, i := range b.running {
		if key.machine == id {
			b.Runs[i].End, b.Runs[i].Cause = at, "machine gone"
			delete(b.running, key)
		}
	}
	b.logLocked("machine %s is gone", id)
}

// TaskStartAccepted records a start command that a worker has accepted.
func (b *Bench) TaskStartAccepted(machine protocol.MachineID, task protocol.TaskID, attempt protocol.Attempt, at time.Duration) {
	b.mu.Lock()
	b.accepts = append(b.accepts, Run{Machine: machine, Task: task, Attempt: attempt, Start: at})
	b.mu.Unlock()
	b.Logf("%s accepts the start of %v, attempt %d", machine, task, attempt)
}

// TaskStarted records a task that is on its machine.
func (b *Bench) TaskStarted(machine protocol.MachineID, task protocol.TaskID, attempt protocol.Attempt, at time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running[runKey{machine, task}] = len(b.Runs)
	b.Runs = append(b.Runs, Run{Machine: machine, Task: task, Attempt: attempt, Start: at})
	b.logLocked("%s runs %v, attempt %d", machine, task, attempt)
}

// TaskEnded records the end of a task.
func (b *Bench) TaskEnded(machine protocol.MachineID, task protocol.TaskID, attempt protocol.Attempt, cause protocol.EndCause, at time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i, ok := b.running[runKey{machine, task}]; ok {
		b.Runs[i].End, b.Runs[i].Cause = at, cause
		delete(b.running, runKey{machine, task})
	}
	b.logLocked("%s ended %v, attempt %d: %s", machine, task, attempt, cause)
}

// RunsOf returns the starts of a job's tasks so far.
func (b *Bench) RunsOf(id protocol.JobID) (runs []Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.Runs {
		if r.Task.Job == id {
			runs = append(runs, r)
		}
	}
	return runs
}

// Accepts returns the start commands for a job's tasks that workers have accepted so far.
func (b *Bench) Accepts(id protocol.JobID) (accepts []Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.accepts {
		if r.Task.Job == id {
			accepts = append(accepts, r)
		}
	}
	return accepts
}

func (b *Bench) peerAddr(from, to *Node) string {
	if !b.ProxyPeers {
		return to.PeerAddr
	}
	if b.Peers == nil {
		b.Peers = map[string]*Proxy{}
	}
	p := NewProxy(to.PeerAddr)
	b.Peers[from.Name+" "+to.Name] = p
	return p.Addr
}

func (n *Node) stateAddr() string {
	if !n.bench.ProxyPeers {
		return n.State.Addr
	}
	n.StateWay = NewProxy(n.State.Addr)
	return n.StateWay.Addr
}

// Cut cuts a controller from the store and from the other controllers, or ends that.
func (b *Bench) Cut(n *Node, mode string) {
	b.Logf("%s cut from the store and the other controllers: %q", n.Name, mode)
	n.StateWay.Set(mode)
	for _, other := range b.Nodes {
		if other != n {
			b.Peers[n.Name+" "+other.Name].Set(mode)
			b.Peers[other.Name+" "+n.Name].Set(mode)
		}
	}
}
