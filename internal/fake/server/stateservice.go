package server

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"

	"golang.org/x/time/rate"
)

const (
	// maxItemsPerPage is the maximum number of items in a page, and maxPageBytes the maximum
	// number of bytes of their keys and values. A page has at least one item.
	maxItemsPerPage = 1000
	maxPageBytes    = 512 << 10
	// expiryInterval is the interval at which expired leases are removed.
	expiryInterval = 50 * time.Millisecond
)

// StateService serves the model of the key-value store over HTTP: reads, lists, transactions,
// leases and watches.
type StateService struct {
	Addr    string   // address of the HTTP server
	Traffic *Traffic // requests by kind, and the number of changes

	throttle
	server  *http.Server
	changes *rate.Limiter // of the changes in transactions
	clock   func() time.Duration
	done    chan struct{}

	mu      sync.Mutex
	state   *fake.KeyValueStore
	changed chan struct{} // closed at each change
}

// NewStateService starts a key-value store on loopback. The function clock must return
// the time of a monotonic clock.
func NewStateService(limits Limits, clock func() time.Duration) (*StateService, error) {
	throttle := newThrottle(limits)
	s := &StateService{
		Traffic: throttle.traffic, throttle: throttle, changes: limits.limiter(limits.Changes), clock: clock,
		done: make(chan struct{}), state: fake.NewKeyValueStore(), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /keys", s.limited("list", s.list))
	mux.HandleFunc("GET /keys/{key...}", s.limited("read", s.get))
	mux.HandleFunc("POST /txn", s.limited("transaction", s.transaction))
	mux.HandleFunc("POST /holds", s.limited("lease", lockedHandler(&s.mu, s.grantLease)))
	mux.HandleFunc("POST /holds/{id}/extend", s.limited("extend", s.extendLease))
	mux.HandleFunc("DELETE /holds/{id}", s.limited("release", s.releaseLease))
	mux.HandleFunc("GET /follow", s.limited("watch", s.watch))
	var err error
	if s.server, s.Addr, err = listen(mux, unwrappedListener); err != nil {
		return nil, err
	}
	go s.expireLeases()
	return s, nil
}

// Close stops the service.
func (s *StateService) Close() {
	close(s.done)
	_ = s.server.Close() // an error does not matter at shutdown
}

// Size returns the number of records and the total size of their keys and values.
func (s *StateService) Size() (records, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := s.state.List("")
	for _, it := range items {
		bytes += len(it.Key) + len(it.Value)
	}
	return len(items), bytes
}

// expireLeases removes expired leases with their keys every expiryInterval until the service is
// closed, and wakes up the watches if keys were deleted.
func (s *StateService) expireLeases() {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
			s.mu.Lock()
			before := s.state.Changes()
			if s.state.ExpireLeases(s.clock()); s.state.Changes() != before {
				s.notifyWatches()
			}
			s.mu.Unlock()
		}
	}
}

// get serves the item of one key, or status 404 with the store's revision if the key does not
// exist.
func (s *StateService) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.state.Get(r.PathValue("key"))
	revision := s.state.Revision
	s.mu.Unlock()
	if !ok {
		writeResponse(w, http.StatusNotFound, protocol.TransactionReply{Revision: revision})
		return
	}
	writeResponse(w, http.StatusOK, it)
}

// list serves a page of the items whose keys have the prefix in the query field "starts" and
// follow the key in "from", sorted by key. The field "page" limits their number.
func (s *StateService) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	pageSize, _ := strconv.Atoi(query.Get("page"))
	s.mu.Lock()
	page := protocol.Page{Revision: s.state.Revision, Items: []protocol.Item{}}
	bytes := 0
	for _, it := range s.state.List(query.Get("starts")) {
		if it.Key <= query.Get("from") {
			continue
		}
		bytes += len(it.Key) + len(it.Value)
		if len(page.Items) >= max(1, min(pageSize, maxItemsPerPage)) || bytes > maxPageBytes && len(page.Items) > 0 {
			page.More = true
			break
		}
		page.Items = append(page.Items, it)
	}
	s.mu.Unlock()
	writeResponse(w, http.StatusOK, page)
}

// transaction serves a transaction. It refuses one whose changes exceed the rate limit of
// changes, without executing it.
func (s *StateService) transaction(w http.ResponseWriter, r *http.Request) {
	t, ok := decodeRequest[protocol.Transaction](w, r)
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
	writeResponse(w, status, body)
}

// execute executes a transaction and returns the status code and body of the response: 400 if
// a lease of a change does not exist, 409 if a condition does not hold, without the keys of the
// failed conditions. The lock is held.
func (s *StateService) execute(t protocol.Transaction) (status int, body any) {
	if s.state.UsesMissingLease(t) {
		return http.StatusBadRequest, protocol.ErrorBody{Error: "no such lease"}
	}
	if !s.state.Execute(t) {
		return http.StatusConflict, protocol.TransactionReply{Failed: []string{}, Revision: s.state.Revision}
	}
	s.notifyWatches()
	return http.StatusOK, protocol.TransactionReply{Revision: s.state.Revision}
}

// grantLease serves a request for a lease. The lock is held.
func (s *StateService) grantLease(l protocol.LeaseRequest) (status int, body any) {
	return http.StatusOK, protocol.LeaseReply{Lease: s.state.GrantLease(s.clock(), time.Duration(l.TTLMS)*time.Millisecond)}
}

// extendLease serves a request to renew a lease, with status 404 if the lease does not exist.
func (s *StateService) extendLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	known := s.state.ExtendLease(s.clock(), protocol.LeaseID(id))
	s.mu.Unlock()
	if !known {
		writeResponse(w, http.StatusNotFound, protocol.ErrorBody{Error: "no such lease"})
		return
	}
	writeResponse(w, http.StatusOK, protocol.LeaseReply{Lease: protocol.LeaseID(id)})
}

// releaseLease serves a request to remove a lease and delete its keys. It succeeds if the lease
// does not exist.
func (s *StateService) releaseLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.state.ReleaseLease(protocol.LeaseID(id))
	s.notifyWatches()
	s.mu.Unlock()
	writeResponse(w, http.StatusOK, protocol.LeaseReply{Lease: protocol.LeaseID(id)})
}
