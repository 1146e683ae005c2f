package main

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// state is the stand-in of the state service. Each controller reaches it at an address of its
// own, so that single controllers can be refused or cut off.
type state struct {
	mu       sync.Mutex
	changed  *sync.Cond
	revision uint64
	keys     map[string]*stored
	leases   map[uint64]*lease
	lastID   uint64
	log      []change
	outage   bool
	rps, wps bucket
	valueKB  float64
	ops      int
	limited  atomic.Int64
	// Hook, if set, sees each transaction before it is executed; a case uses it to delay answers.
	hook func(node int, t *txn) txnFate
}

type txnFate struct {
	before time.Duration // executed after this time
	after  time.Duration // answered so much later
	lost   bool          // never answered
}

type stored struct {
	value cbor.RawMessage
	entry uint64
	lease uint64
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

type change struct {
	key   string
	value cbor.RawMessage // nil: deleted
	entry uint64
}

type txn struct {
	If []struct {
		Path  string `cbor:"path"`
		Entry uint64 `cbor:"entry"`
	} `cbor:"if"`
	Then []struct {
		Write string          `cbor:"write"`
		Value cbor.RawMessage `cbor:"value"`
		Lease *uint64         `cbor:"mooring"`
		Drop  string          `cbor:"drop"`
	} `cbor:"then"`
}

type bucket struct {
	rate, level float64
	last        time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	if b.last.IsZero() {
		b.level = b.rate
	} else {
		b.level = min(b.rate, b.level+b.rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

func newState(rps, wps, valueKB float64, ops int) *state {
	s := &state{keys: map[string]*stored{}, leases: map[uint64]*lease{}, rps: bucket{rate: rps}, wps: bucket{rate: wps}, valueKB: valueKB, ops: ops}
	s.changed = sync.NewCond(&s.mu)
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.changed.Broadcast()
			s.mu.Unlock()
		}
	}()
	return s
}

// setOutage begins or ends an outage. After it all leases get their full time back.
func (s *state) setOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage && !on {
		for _, l := range s.leases {
			l.ends = time.Now().Add(l.ttl)
		}
	}
	s.outage = on
}

func (s *state) expire() {
	if s.outage {
		return
	}
	for id, l := range s.leases {
		if time.Since(l.ends) > 0 {
			s.dropLease(id)
		}
	}
}

func (s *state) dropLease(id uint64) {
	delete(s.leases, id)
	for key, v := range s.keys {
		if v.lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

func (s *state) remove(key string) {
	delete(s.keys, key)
	s.log = append(s.log, change{key, nil, s.revision})
}

func (s *state) get(key string) (cbor.RawMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.keys[key]; v != nil {
		return v.value, true
	}
	return nil, false
}

// execute carries a transaction out and returns status and body.
func (s *state) execute(t *txn) (int, m) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Then {
		if c.Write != "" && c.Lease != nil && s.leases[*c.Lease] == nil {
			return 400, m{"error": "no such lease"}
		}
		if float64(len(c.Value)) > s.valueKB*1024 {
			return 400, m{"error": "value too large"}
		}
	}
	if len(t.Then) > s.ops || len(t.If) > 4*s.ops {
		return 400, m{"error": "too many operations"}
	}
	failed := []string{}
	for _, c := range t.If {
		entry := uint64(0)
		if v := s.keys[c.Path]; v != nil {
			entry = v.entry
		}
		if entry != c.Entry {
			failed = append(failed, c.Path)
		}
	}
	if len(failed) > 0 {
		return 409, m{"failed": failed, "ledgerline": s.revision}
	}
	if len(t.Then) > 0 {
		s.revision++
		for _, c := range t.Then {
			if c.Write == "" {
				if s.keys[c.Drop] != nil {
					s.remove(c.Drop)
				}
				continue
			}
			v := &stored{value: append(cbor.RawMessage{}, c.Value...), entry: s.revision}
			if c.Lease != nil {
				v.lease = *c.Lease
			}
			s.keys[c.Write] = v
			s.log = append(s.log, change{c.Write, v.value, s.revision})
		}
		if len(s.log) > 10000 {
			s.log = s.log[len(s.log)-10000:]
		}
		s.changed.Broadcast()
	}
	return 200, m{"ledgerline": s.revision}
}

// stateLink is the way of one controller to the state service.
type stateLink struct {
	s       *state
	node    int
	addr    string
	refuse  atomic.Bool  // 503 for this controller alone
	cut     atomic.Bool  // no answer, nothing executed
	slowMS  atomic.Int64 // each answer that much later
	lostPct atomic.Int64 // share of transactions that are executed without an answer
	latePct atomic.Int64 // share of transactions that are executed 2 to 12 s later, unanswered
}

func (s *state) listen(node int) *stateLink {
	l := &stateLink{s: s, node: node}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	l.addr = ln.Addr().String()
	go func() { _ = (&http.Server{Handler: l}).Serve(ln) }()
	return l
}

func hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(60 * time.Second):
	}
	panic(http.ErrAbortHandler)
}

func (l *stateLink) blocked() bool {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	return l.s.outage || l.refuse.Load()
}

func (l *stateLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := l.s
	body, _ := io.ReadAll(r.Body)
	if l.cut.Load() {
		hang(r)
	}
	if d := l.slowMS.Load(); d > 0 {
		time.Sleep(time.Duration(float64(d)*(0.5+rand.Float64())) * time.Millisecond / 2)
		defer time.Sleep(time.Duration(float64(d)*(0.5+rand.Float64())) * time.Millisecond / 2)
	}
	if l.blocked() {
		respond(w, 503, m{"error": "trouble"})
		return
	}
	s.mu.Lock()
	ok := s.rps.take(1)
	s.mu.Unlock()
	if !ok {
		s.limited.Add(1)
		respond(w, 429, m{"error": "too many requests"})
		return
	}
	path, query := r.URL.Path, r.URL.Query()
	switch {
	case r.Method == "GET" && strings.HasPrefix(path, "/keys/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		if v := s.keys[path[len("/keys/"):]]; v != nil {
			answer := m{"path": path[len("/keys/"):], "value": v.value, "entry": v.entry}
			if v.lease != 0 {
				answer["mooring"] = v.lease
			}
			respond(w, 200, answer)
		} else {
			respond(w, 404, m{"ledgerline": s.revision})
		}
	case r.Method == "GET" && path == "/keys":
		l.list(w, query.Get("starts"), query.Get("from"), query.Get("page"))
	case r.Method == "POST" && path == "/txn":
		l.transact(w, r, body)
	case r.Method == "POST" && path == "/holds":
		var q struct {
			TTL int64 `cbor:"ttl_ms"`
		}
		if decode(body, &q) != nil || q.TTL < 100 || q.TTL > 600000 {
			respond(w, 400, m{"error": "bad ttl"})
			return
		}
		s.mu.Lock()
		s.lastID++
		id := s.lastID
		s.leases[id] = &lease{time.Duration(q.TTL) * time.Millisecond, time.Now().Add(time.Duration(q.TTL) * time.Millisecond)}
		s.mu.Unlock()
		respond(w, 200, m{"mooring": id})
	case strings.HasPrefix(path, "/holds/"):
		l.hold(w, r.Method, path[len("/holds/"):])
	case path == "/follow":
		l.follow(w, r, query.Get("starts"), query.Get("from"), query.Get("hold_ms"))
	default:
		respond(w, 400, m{"error": "malformed"})
	}
}

func (l *stateLink) hold(w http.ResponseWriter, method, rest string) {
	name, extend := strings.CutSuffix(rest, "/extend")
	id, _ := strconv.ParseUint(name, 10, 64)
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	le := l.s.leases[id]
	switch {
	case le == nil:
		respond(w, 404, m{"error": "no such lease"})
	case extend:
		le.ends = time.Now().Add(le.ttl)
		respond(w, 200, m{"mooring": id})
	case method == "DELETE":
		l.s.dropLease(id)
		l.s.changed.Broadcast()
		respond(w, 200, m{})
	}
}

func (l *stateLink) list(w http.ResponseWriter, prefix, from, page string) {
	limit, _ := strconv.Atoi(page)
	if limit <= 0 || limit > 1000 {
		limit = 1000
	}
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	var names []string
	for key := range l.s.keys {
		if strings.HasPrefix(key, prefix) && key > from {
			names = append(names, key)
		}
	}
	sort.Strings(names)
	entries, size, more := []m{}, 0, false
	for _, key := range names {
		v := l.s.keys[key]
		if size += len(v.value) + len(key) + 30; len(entries) >= limit || size > 500<<10 {
			more = true
			break
		}
		entries = append(entries, m{"path": key, "value": v.value, "entry": v.entry})
	}
	respond(w, 200, m{"entries": entries, "more": more, "ledgerline": l.s.revision})
}

func (l *stateLink) transact(w http.ResponseWriter, r *http.Request, body []byte) {
	var t txn
	if err := decode(body, &t); err != nil || len(body) > maxBody {
		respond(w, 400, m{"error": "malformed"})
		return
	}
	l.s.mu.Lock()
	ok := l.s.wps.take(float64(len(t.Then)))
	l.s.mu.Unlock()
	if !ok {
		l.s.limited.Add(1)
		respond(w, 429, m{"error": "too many changes"})
		return
	}
	var fate txnFate
	if l.s.hook != nil {
		fate = l.s.hook(l.node, &t)
	}
	switch p := rand.Int64N(100); {
	case p < l.lostPct.Load():
		fate.lost = true
	case p < l.lostPct.Load()+l.latePct.Load():
		fate.lost, fate.before = true, time.Duration(2000+rand.IntN(10000))*time.Millisecond
	}
	if fate.lost && fate.before > 0 {
		time.AfterFunc(fate.before, func() {
			for l.s.isOut() {
				time.Sleep(50 * time.Millisecond)
			}
			l.s.execute(&t)
		})
		hang(r)
	}
	time.Sleep(fate.before)
	status, answer := l.s.execute(&t)
	if fate.lost {
		hang(r)
	}
	time.Sleep(fate.after)
	respond(w, status, answer)
}

func (s *state) isOut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

func (l *stateLink) follow(w http.ResponseWriter, r *http.Request, prefix, from, hold string) {
	after, _ := strconv.ParseUint(from, 10, 64)
	ms, _ := strconv.Atoi(hold)
	until := time.Now().Add(time.Duration(min(ms, 60000)) * time.Millisecond)
	s := l.s
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if len(s.log) >= 10000 && s.log[0].entry > after+1 {
			respond(w, 410, m{"error": "too old"})
			return
		}
		news := []m{}
		if !s.outage && !l.refuse.Load() && !l.cut.Load() { // open watches wait meanwhile
			i := sort.Search(len(s.log), func(i int) bool { return s.log[i].entry > after })
			for _, c := range s.log[i:] {
				switch {
				case !strings.HasPrefix(c.key, prefix):
				case c.value == nil:
					news = append(news, m{"drop": c.key, "entry": c.entry})
				default:
					news = append(news, m{"write": c.key, "value": c.value, "entry": c.entry})
				}
			}
			if len(news) > 0 || time.Now().After(until) {
				respond(w, 200, m{"ledgerline": s.revision, "news": news})
				return
			}
		}
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		s.changed.Wait()
	}
}
