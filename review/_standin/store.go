package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"

	"golang.org/x/time/rate"
)

// Store serves the model of the key-value store over HTTP, at an address of its own for each
// controller, so that it can refuse one controller alone, as PROTOCOL describes.
type Store struct {
	clock    func() time.Duration
	requests *rate.Limiter
	writes   *rate.Limiter

	mu      sync.Mutex
	state   *fake.KeyValueStore
	changed chan struct{} // closed at each change
	access  map[string]*Access
}

// Access is how the store treats one controller.
type Access struct {
	Addr string

	mu      sync.Mutex
	refused bool
	// onRequest, if set, is called with each request; its result is how long the answer is
	// held back after it was composed.
	onRequest func(kind string) time.Duration
}

// NewStore starts a store with the limits of the settings.
func NewStore(rps, writeRPS float64, clock func() time.Duration) *Store {
	s := &Store{
		clock: clock, state: fake.NewKeyValueStore(), changed: make(chan struct{}), access: map[string]*Access{},
		requests: rate.NewLimiter(rate.Limit(rps), int(rps)), writes: rate.NewLimiter(rate.Limit(writeRPS), int(writeRPS)),
	}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			before := s.state.Changes()
			if s.state.ExpireLeases(s.clock()); s.state.Changes() != before {
				s.notify()
			}
			s.mu.Unlock()
		}
	}()
	return s
}

// For returns the access of a controller, and starts to serve it.
func (s *Store) For(node string) *Access {
	a := &Access{}
	mux := http.NewServeMux()
	handle := func(pattern, kind string, h func(http.ResponseWriter, *http.Request) (int, any)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			a.mu.Lock()
			refused, hold := a.refused, time.Duration(0)
			if a.onRequest != nil {
				a.mu.Unlock()
				hold = a.onRequest(kind)
				a.mu.Lock()
				refused = a.refused
			}
			a.mu.Unlock()
			if refused {
				answer(w, http.StatusServiceUnavailable, protocol.ErrorBody{Error: "trouble"})
				return
			}
			if !s.requests.Allow() {
				answer(w, http.StatusTooManyRequests, protocol.ErrorBody{Error: "too many requests"})
				return
			}
			status, body := h(w, r)
			time.Sleep(2*time.Millisecond + hold)
			if status != 0 {
				answer(w, status, body)
			}
		})
	}
	handle("GET /keys", "list", s.list)
	handle("GET /keys/{key...}", "get", s.get)
	handle("POST /txn", "txn", s.txn)
	handle("POST /holds", "grant", s.grant)
	handle("POST /holds/{id}/extend", "extend", s.extend)
	handle("DELETE /holds/{id}", "release", s.release)
	handle("GET /follow", "watch", func(w http.ResponseWriter, r *http.Request) (int, any) { return s.watch(a, r) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	a.Addr = l.Addr().String()
	s.access[node] = a
	return a
}

// Refuse makes the store refuse a controller alone, or serve it again.
func (a *Access) Refuse(refused bool) {
	a.mu.Lock()
	a.refused = refused
	a.mu.Unlock()
}

func (a *Access) isRefused() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refused
}

// OnRequest sets the function that is called with each request.
func (a *Access) OnRequest(f func(kind string) time.Duration) {
	a.mu.Lock()
	a.onRequest = f
	a.mu.Unlock()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
	if n := s.state.Changes(); n-s.state.CompactedChanges > 20000 {
		s.state.Compact(n - 10000)
	}
}

func (s *Store) get(_ http.ResponseWriter, r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.state.Get(r.PathValue("key"))
	if !ok {
		return http.StatusNotFound, protocol.TransactionReply{Revision: s.state.Revision}
	}
	return http.StatusOK, it
}

func (s *Store) list(_ http.ResponseWriter, r *http.Request) (int, any) {
	q := r.URL.Query()
	size, _ := strconv.Atoi(q.Get("page"))
	s.mu.Lock()
	defer s.mu.Unlock()
	page := protocol.Page{Revision: s.state.Revision, Items: []protocol.Item{}}
	bytes := 0
	for _, it := range s.state.List(q.Get("starts")) {
		if it.Key <= q.Get("from") {
			continue
		}
		bytes += len(it.Key) + len(it.Value)
		if len(page.Items) >= max(1, min(size, 1000)) || bytes > 512<<10 && len(page.Items) > 0 {
			page.More = true
			break
		}
		page.Items = append(page.Items, it)
	}
	return http.StatusOK, page
}

func (s *Store) txn(_ http.ResponseWriter, r *http.Request) (int, any) {
	var t protocol.Transaction
	if !decode(r, &t) {
		return http.StatusBadRequest, protocol.ErrorBody{Error: "malformed"}
	}
	if !s.writes.AllowN(time.Now(), len(t.Changes)) {
		return http.StatusTooManyRequests, protocol.ErrorBody{Error: "too many changes"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.UsesMissingLease(t) {
		return http.StatusBadRequest, protocol.ErrorBody{Error: "no such lease"}
	}
	failed := []string{}
	for _, c := range t.Conditions {
		if it, _ := s.state.Get(c.Key); it.Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, protocol.TransactionReply{Failed: failed, Revision: s.state.Revision}
	}
	if len(t.Changes) > 0 {
		s.state.Execute(t)
		s.notify()
	}
	return http.StatusOK, protocol.TransactionReply{Failed: []string{}, Revision: s.state.Revision}
}

func (s *Store) grant(_ http.ResponseWriter, r *http.Request) (int, any) {
	var l protocol.LeaseRequest
	if !decode(r, &l) {
		return http.StatusBadRequest, protocol.ErrorBody{Error: "malformed"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return http.StatusOK, protocol.LeaseReply{Lease: s.state.GrantLease(s.clock(), time.Duration(l.TTLMS)*time.Millisecond)}
}

func (s *Store) extend(_ http.ResponseWriter, r *http.Request) (int, any) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.state.ExtendLease(s.clock(), protocol.LeaseID(id)) {
		return http.StatusNotFound, protocol.ErrorBody{Error: "no such lease"}
	}
	return http.StatusOK, protocol.LeaseReply{Lease: protocol.LeaseID(id)}
}

func (s *Store) release(_ http.ResponseWriter, r *http.Request) (int, any) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.ReleaseLease(protocol.LeaseID(id))
	s.notify()
	return http.StatusOK, protocol.LeaseReply{Lease: protocol.LeaseID(id)}
}

// watch waits for a change of the keys with a prefix, and waits on while the store refuses the
// controller.
func (s *Store) watch(a *Access, r *http.Request) (int, any) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	holdMS, _ := strconv.Atoi(q.Get("hold_ms"))
	deadline := time.Now().Add(min(time.Duration(holdMS)*time.Millisecond, time.Minute))
	for {
		events, changed, known := s.since(from, q.Get("starts"))
		refused := a.isRefused()
		switch {
		case refused:
		case !known:
			return http.StatusGone, protocol.ErrorBody{Error: "too old"}
		case len(events.Events) > 0 || !time.Now().Before(deadline):
			return http.StatusOK, events
		}
		timer := time.NewTimer(50 * time.Millisecond)
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			return 0, nil
		}
		timer.Stop()
		if refused {
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func (s *Store) since(from uint64, prefix string) (protocol.Events, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := protocol.Events{Revision: s.state.Revision, Events: []protocol.Event{}}
	first := s.state.Changes()
	for first > s.state.CompactedChanges && uint64(s.state.Change(first-1).Version) > from {
		first--
	}
	if first == s.state.CompactedChanges && first > 0 {
		return events, nil, false
	}
	for i := first; i < s.state.Changes(); i++ {
		if ev := s.state.Change(i); strings.HasPrefix(ev.Put+ev.Delete, prefix) {
			events.Events = append(events.Events, ev)
		}
	}
	return events, s.changed, true
}

func decode(r *http.Request, into any) bool {
	b, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	return err == nil && protocol.Decode(b, into) == nil
}

func answer(w http.ResponseWriter, status int, body any) {
	b, err := protocol.Encode(body)
	check(err)
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
