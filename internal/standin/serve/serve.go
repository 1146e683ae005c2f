// Package serve puts the models of the platform's services behind its wire: a
// state service, a cloud and workers on loopback, for tests with real
// controllers at real speed.
package serve

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/standin"
)

// Platform is all of it. Close ends it.
type Platform struct {
	State, Cloud string // addresses

	mu      sync.Mutex
	begun   time.Time
	state   *standin.State
	changed chan struct{} // closed at each change
	cloud   *standin.Cloud
	types   []protocol.TypeInfo
	boot    func(protocol.TypeInfo) time.Duration
	workers map[protocol.MachineID]*worker
	nodes   map[protocol.NodeName]string
	jobs    map[protocol.JobID]protocol.Job
	started map[protocol.TaskID]time.Time
	starts  map[protocol.JobID]int
	results map[protocol.TaskID]bool
	servers []*http.Server
	done    chan struct{}
}

// New starts a platform with so many machines to rent at the most. Nodes are the
// addresses of the controllers.
func New(types []protocol.TypeInfo, machines int, nodes map[protocol.NodeName]string) (*Platform, error) {
	p := &Platform{
		begun: time.Now(), state: standin.NewState(), changed: make(chan struct{}), cloud: standin.NewCloud(machines), types: types,
		workers: map[protocol.MachineID]*worker{}, nodes: nodes, jobs: map[protocol.JobID]protocol.Job{},
		started: map[protocol.TaskID]time.Time{}, starts: map[protocol.JobID]int{}, results: map[protocol.TaskID]bool{}, done: make(chan struct{}),
		boot: func(t protocol.TypeInfo) time.Duration {
			return time.Duration((0.6 + 0.9*rand.Float64()) * t.BootS * float64(time.Second))
		},
	}
	state, cloud := http.NewServeMux(), http.NewServeMux()
	state.HandleFunc("GET /keys", p.list)
	state.HandleFunc("GET /keys/{key...}", p.get)
	state.HandleFunc("POST /txn", locked(p, p.txn))
	state.HandleFunc("POST /holds", locked(p, p.lease))
	state.HandleFunc("POST /holds/{id}/extend", p.extend)
	state.HandleFunc("DELETE /holds/{id}", p.release)
	state.HandleFunc("GET /follow", p.follow)
	cloud.HandleFunc("GET /catalog", func(w http.ResponseWriter, _ *http.Request) { answer(w, 200, protocol.Catalogue{Types: p.types}) })
	cloud.HandleFunc("POST /hosts", locked(p, p.rent))
	cloud.HandleFunc("POST /hosts/delete", locked(p, p.remove))
	cloud.HandleFunc("GET /hosts", p.machines)
	var err error
	if p.State, err = p.serve(state); err != nil {
		return nil, err
	}
	if p.Cloud, err = p.serve(cloud); err != nil {
		return nil, err
	}
	go p.expire()
	return p, nil
}

func (p *Platform) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("stand-in: %w", err)
	}
	s := &http.Server{Handler: h}
	p.servers = append(p.servers, s)
	go func() { _ = s.Serve(l) }() // until Close
	return l.Addr().String(), nil
}

// Close ends all servers and workers.
func (p *Platform) Close() {
	close(p.done)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		_ = s.Close() // nothing is left to lose
	}
}

// Submitted makes a job known to workers, as its user's upload does.
func (p *Platform) Submitted(j protocol.Job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobs[j.ID] = j
}

// Started is when each task of a job first started.
func (p *Platform) Started(id protocol.JobID) []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ts []time.Time
	for t, at := range p.started {
		if t.Job == id {
			ts = append(ts, at)
		}
	}
	return ts
}

// Starts is how many times tasks of a job have started, those that started again
// included.
func (p *Platform) Starts(id protocol.JobID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts[id]
}

// now is the platform's steady clock.
func (p *Platform) now() time.Duration { return time.Since(p.begun) }

func answer(w http.ResponseWriter, status int, v any) {
	b, err := protocol.Encode(v)
	if err != nil {
		status, b = 500, nil
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b) // who asked may be gone
}

func read[T any](w http.ResponseWriter, r *http.Request) (v T, ok bool) {
	b, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err == nil {
		err = protocol.Decode(b, &v)
	}
	if err != nil {
		answer(w, 400, protocol.ErrorBody{Error: err.Error()})
	}
	return v, err == nil
}

// locked answers requests of a form, with the platform to itself.
func locked[T any](p *Platform, do func(T) (status int, body any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, ok := read[T](w, r)
		if !ok {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		status, body := do(v)
		answer(w, status, body)
	}
}

// wake lets watches look again. The lock is held.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// expire ends leases in time.
func (p *Platform) expire() {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-t.C:
			p.mu.Lock()
			n := p.state.Changes()
			if p.state.Expire(p.now()); p.state.Changes() != n {
				p.wake()
			}
			p.mu.Unlock()
		}
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	it, ok := p.state.Get(r.PathValue("key"))
	if !ok {
		answer(w, 404, protocol.TxnReply{Revision: p.state.Revision})
		return
	}
	answer(w, 200, it)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	size, _ := strconv.Atoi(q.Get("page"))
	p.mu.Lock()
	defer p.mu.Unlock()
	page := protocol.Page{Revision: p.state.Revision, Items: []protocol.Item{}}
	for _, it := range p.state.List(q.Get("starts")) {
		if it.Key <= q.Get("from") {
			continue
		}
		if len(page.Items) >= max(1, min(size, 1000)) {
			page.More = true
			break
		}
		page.Items = append(page.Items, it)
	}
	answer(w, 200, page)
}

func (p *Platform) txn(t protocol.Txn) (int, any) {
	if !p.state.Txn(t) {
		return 409, protocol.TxnReply{Failed: []string{}, Revision: p.state.Revision}
	}
	p.wake()
	return 200, protocol.TxnReply{Revision: p.state.Revision}
}

func (p *Platform) lease(l protocol.LeaseRequest) (int, any) {
	return 200, protocol.LeaseReply{Lease: p.state.Lease(p.now(), time.Duration(l.TTLMS)*time.Millisecond)}
}

func (p *Platform) extend(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.state.Extend(p.now(), protocol.LeaseID(id)) {
		answer(w, 404, protocol.ErrorBody{Error: "no such lease"})
		return
	}
	answer(w, 200, protocol.LeaseReply{Lease: protocol.LeaseID(id)})
}

func (p *Platform) release(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Release(protocol.LeaseID(id))
	p.wake()
	answer(w, 200, protocol.LeaseReply{Lease: protocol.LeaseID(id)})
}

// follow answers with what changed after a revision, or waits for something.
func (p *Platform) follow(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	hold, _ := strconv.Atoi(q.Get("hold_ms"))
	until := time.NewTimer(time.Duration(min(hold, 60_000)) * time.Millisecond)
	defer until.Stop()
	for waited := false; ; {
		p.mu.Lock()
		out := protocol.Events{Revision: p.state.Revision, Events: []protocol.Event{}}
		for i := p.state.Changes() - 1; i >= p.state.Before && uint64(p.state.Change(i).Version) > from; i-- {
			if ev := p.state.Change(i); strings.HasPrefix(ev.Put+ev.Delete, q.Get("starts")) {
				out.Events = append(out.Events, ev)
			}
		}
		changed := p.changed
		p.mu.Unlock()
		if slices.Reverse(out.Events); len(out.Events) > 0 || waited {
			answer(w, 200, out)
			return
		}
		select {
		case <-changed:
		case <-until.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) rent(req protocol.RentRequest) (int, any) {
	all, fresh := p.cloud.Rent(req)
	if len(all) == 0 {
		return 503, protocol.ErrorBody{Error: "no capacity"}
	}
	i := slices.IndexFunc(p.types, func(t protocol.TypeInfo) bool { return t.Name == req.Type })
	for _, id := range fresh {
		time.AfterFunc(p.boot(p.types[i]), func() { p.up(id, p.types[i], req) })
	}
	return 200, protocol.MachineNames{Machines: all}
}

func (p *Platform) remove(req protocol.MachineNames) (int, any) {
	for _, id := range req.Machines {
		delete(p.cloud.Machines, id)
		if m := p.workers[id]; m != nil {
			m.Dead = true
			_ = m.server.Close() // the machine is gone
			delete(p.workers, id)
		}
	}
	return 200, struct{}{}
}

func (p *Platform) machines(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := protocol.MachineList{Machines: []protocol.ListedMachine{}}
	for id, req := range p.cloud.Machines {
		if string(id) <= r.URL.Query().Get("from") {
			continue
		}
		l := protocol.ListedMachine{ID: id, Type: req.Type, Zone: req.Zone, Spot: req.Spot, State: "booting"}
		if m := p.workers[id]; m != nil {
			l.State, l.Address, l.AgeS = "running", m.addr, (p.now() - m.since).Seconds()
		}
		list.Machines = append(list.Machines, l)
	}
	slices.SortFunc(list.Machines, func(a, b protocol.ListedMachine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	answer(w, 200, list)
}
