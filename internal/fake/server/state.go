package server

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"

	"golang.org/x/time/rate"
)

const (
	// keptChanges is how many changes the state service remembers for watches.
	keptChanges = 10_000
	// maxPage is how many items a page holds at the most, and maxPageBytes how many
	// bytes of values.
	maxPage      = 1000
	maxPageBytes = 512 << 10
	// maxWatch is how long a watch stays open at the most.
	maxWatch    = 60 * time.Second
	expireEvery = 50 * time.Millisecond
)

// StateService puts the model of the state service behind its wire.
type StateService struct {
	Addr    string
	Traffic *Traffic

	throttle
	server  *http.Server
	changes *rate.Limiter
	clock   func() time.Duration
	done    chan struct{}

	mu      sync.Mutex
	state   *fake.State
	changed chan struct{} // closed at each change
}

// NewStateService starts a state service on loopback. Clock is its steady clock.
func NewStateService(limits Limits, clock func() time.Duration) (*StateService, error) {
	t := newThrottle(limits)
	s := &StateService{
		Traffic: t.traffic, throttle: t, changes: limits.limiter(limits.Changes), clock: clock, done: make(chan struct{}), state: fake.NewState(), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /keys", s.limited("list", s.list))
	mux.HandleFunc("GET /keys/{key...}", s.limited("read", s.get))
	mux.HandleFunc("POST /txn", s.limited("transaction", s.transaction))
	mux.HandleFunc("POST /holds", s.limited("lease", locked(&s.mu, s.lease)))
	mux.HandleFunc("POST /holds/{id}/extend", s.limited("extend", s.extend))
	mux.HandleFunc("DELETE /holds/{id}", s.limited("release", s.release))
	mux.HandleFunc("GET /follow", s.limited("watch", s.follow))
	var err error
	if s.server, s.Addr, err = listen(mux, plain); err != nil {
		return nil, err
	}
	go s.expire()
	return s, nil
}

// Close ends the service.
func (s *StateService) Close() {
	close(s.done)
	_ = s.server.Close() // nothing is left to lose
}

// Size is how many records there are, with the bytes of their values.
func (s *StateService) Size() (records, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := s.state.List("")
	for _, it := range items {
		bytes += len(it.Key) + len(it.Value)
	}
	return len(items), bytes
}

// wake lets watches look again. The lock is held.
func (s *StateService) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
	if n := s.state.Changes(); n-s.state.Before > 2*keptChanges {
		s.state.Forget(n - keptChanges)
	}
}

// expire ends leases in time.
func (s *StateService) expire() {
	t := time.NewTicker(expireEvery)
	defer t.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-t.C:
			s.mu.Lock()
			n := s.state.Changes()
			if s.state.Expire(s.clock()); s.state.Changes() != n {
				s.wake()
			}
			s.mu.Unlock()
		}
	}
}

func (s *StateService) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.state.Get(r.PathValue("key"))
	revision := s.state.Revision
	s.mu.Unlock()
	if !ok {
		answer(w, 404, protocol.TransactionReply{Revision: revision})
		return
	}
	answer(w, 200, it)
}

func (s *StateService) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	size, _ := strconv.Atoi(q.Get("page"))
	s.mu.Lock()
	page := protocol.Page{Revision: s.state.Revision, Items: []protocol.Item{}}
	bytes := 0
	for _, it := range s.state.List(q.Get("starts")) {
		if it.Key <= q.Get("from") {
			continue
		}
		bytes += len(it.Key) + len(it.Value)
		if len(page.Items) >= max(1, min(size, maxPage)) || bytes > maxPageBytes && len(page.Items) > 0 {
			page.More = true
			break
		}
		page.Items = append(page.Items, it)
	}
	s.mu.Unlock()
	answer(w, 200, page)
}

// transaction executes a transaction within the limit of changes.
func (s *StateService) transaction(w http.ResponseWriter, r *http.Request) {
	t, ok := read[protocol.Transaction](w, r)
	if !ok {
		return
	}
	if !s.changes.AllowN(time.Now(), len(t.Changes)) {
		s.refuse(w, "too many changes")
		return
	}
	s.Traffic.Add("changes", len(t.Changes), 0, 0)
	s.mu.Lock()
	status, body := s.execute(t)
	s.mu.Unlock()
	answer(w, status, body)
}

func (s *StateService) execute(t protocol.Transaction) (int, any) {
	if s.state.LeaseMissing(t) {
		return 400, protocol.ErrorBody{Error: "no such lease"}
	}
	if !s.state.Txn(t) {
		return 409, protocol.TransactionReply{Failed: []string{}, Revision: s.state.Revision}
	}
	s.wake()
	return 200, protocol.TransactionReply{Revision: s.state.Revision}
}

func (s *StateService) lease(l protocol.LeaseRequest) (int, any) {
	return 200, protocol.LeaseReply{Lease: s.state.Lease(s.clock(), time.Duration(l.TTLMS)*time.Millisecond)}
}

func (s *StateService) extend(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	known := s.state.Extend(s.clock(), protocol.LeaseID(id))
	s.mu.Unlock()
	if !known {
		answer(w, 404, protocol.ErrorBody{Error: "no such lease"})
		return
	}
	answer(w, 200, protocol.LeaseReply{Lease: protocol.LeaseID(id)})
}

func (s *StateService) release(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.state.Release(protocol.LeaseID(id))
	s.wake()
	s.mu.Unlock()
	answer(w, 200, protocol.LeaseReply{Lease: protocol.LeaseID(id)})
}

// follow answers with what changed after a revision, or waits for something.
func (s *StateService) follow(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	hold, _ := strconv.Atoi(q.Get("hold_ms"))
	until := time.NewTimer(min(time.Duration(hold)*time.Millisecond, maxWatch))
	defer until.Stop()
	for waited := false; ; {
		events, changed, known := s.since(from, q.Get("starts"))
		if !known {
			answer(w, 410, protocol.ErrorBody{Error: "the revision is too old"})
			return
		}
		if len(events.Events) > 0 || waited {
			answer(w, 200, events)
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

// since lists what changed under a prefix after a revision, and what is closed at
// the next change; not known if the revision is too old.
func (s *StateService) since(from uint64, prefix string) (events protocol.Events, changed <-chan struct{}, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = protocol.Events{Revision: s.state.Revision, Events: []protocol.Event{}}
	first := s.state.Changes()
	for first > s.state.Before && uint64(s.state.Change(first-1).Version) > from {
		first--
	}
	if first == s.state.Before && first > 0 {
		return events, nil, false
	}
	for i := first; i < s.state.Changes(); i++ {
		if ev := s.state.Change(i); strings.HasPrefix(ev.Put+ev.Delete, prefix) {
			events.Events = append(events.Events, ev)
		}
	}
	events.Events = slices.Clip(events.Events)
	return events, s.changed, true
}
