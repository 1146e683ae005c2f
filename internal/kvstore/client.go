// Package kvstore is a client of the consensus-backed key-value store, which is the
// only thing that outlives a process: reads, compare-and-swap, leases and watches,
// all within this controller's allotment of the request rates.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"sync"
	"time"

	"damsonkeel/internal/serviceclient"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"

	"golang.org/x/time/rate"
)

const callTimeout = 1500 * time.Millisecond

// Client is a client of the state service that keeps to this controller's
// share of its rates.
type Client struct {
	client *transport.Client
	follow *transport.Client
	opens  *rate.Limiter // watches opened

	mu     sync.Mutex
	reads  *rate.Limiter // all requests
	writes *rate.Limiter // puts and deletes
	own    RateAllotment // what is left when loans are over
	until  time.Time     // when the first of them is; zero: there are none
	asked  RateAllotment // since last told
}

// RateAllotment is a part of the service's rates: requests and changes a second.
type RateAllotment struct{ Requests, Writes float64 }

// EqualAllotment is each controller's part of the rates before anything is lent: a
// tenth is kept back for leases.
func EqualAllotment(rps, writeRPS float64, count int) RateAllotment {
	part := 0.9 / float64(max(count, 1))
	return RateAllotment{rps * part, writeRPS * part}
}

// NewClient makes a client. The configured rates hold for all controllers
// together; each takes an equal share, a tenth of it kept back for the lease,
// until SetAllotment says otherwise.
func NewClient(addr string, rps, writeRPS float64, count int) *Client {
	share := EqualAllotment(rps, writeRPS, count)
	return &Client{
		client: transport.NewClient(addr),
		follow: transport.NewClient(addr),
		reads:  rate.NewLimiter(rate.Limit(share.Requests), burst(share.Requests)),
		writes: rate.NewLimiter(rate.Limit(share.Writes), burst(share.Writes)),
		opens:  rate.NewLimiter(rate.Limit(share.Requests/4), 1),
	}
}

// burst is what may be used at once of a rate: a second's worth.
func burst(perSecond float64) int { return max(1, int(perSecond)) }

// SetAllotment sets what may be used of the rates: all until a time, if that is not
// past, and then own.
func (s *Client) SetAllotment(own, all RateAllotment, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.own, s.until = own, time.Time{}
	if !until.After(now) {
		s.apply(now, own)
		return
	}
	s.until = until
	s.apply(now, all)
}

func (s *Client) apply(now time.Time, share RateAllotment) {
	s.reads.SetLimitAt(now, rate.Limit(share.Requests))
	s.reads.SetBurstAt(now, burst(share.Requests))
	s.writes.SetLimitAt(now, rate.Limit(share.Writes))
	s.writes.SetBurstAt(now, burst(share.Writes))
}

// DemandedRate is what was asked for since it was last called, within the share or
// not.
func (s *Client) DemandedRate() RateAllotment {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.asked
	s.asked = RateAllotment{}
	return a
}

// ask takes a request with n changes out of the share. One that is not to be
// held back is counted, but never refused.
func (s *Client) ask(n int, p Precedence, heldBack bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.note(now, n)
	if !heldBack {
		s.reads.AllowN(now, 1)
		return true
	}
	return !s.yields(now, n, p) && s.reads.AllowN(now, 1) && s.writes.AllowN(now, n)
}

// note counts a request with n changes, and ends loans that are over: whoever
// lent takes it back, whether or not anybody here has noticed.
func (s *Client) note(now time.Time, n int) {
	if !s.until.IsZero() && now.After(s.until) {
		s.until = time.Time{}
		s.apply(now, s.own)
	}
	s.asked.Requests++
	s.asked.Writes += float64(n)
}

func (s *Client) do(ctx context.Context, method, target string, in, out any) error {
	return serviceclient.Call(ctx, s.client, callTimeout, method, target, in, out)
}

// Get reads a key.
func (s *Client) Get(ctx context.Context, key string) (protocol.Item, error) {
	var it protocol.Item
	if !s.ask(0, First, true) {
		return it, serviceclient.ErrRefused
	}
	err := s.do(ctx, "GET", "/keys/"+key, nil, &it)
	return it, err
}

// List reads all keys with a prefix, page by page. The revision is the first
// page's: following from it misses nothing.
func (s *Client) List(ctx context.Context, prefix string) ([]protocol.Item, protocol.Revision, error) {
	var items []protocol.Item
	var rev protocol.Revision
	from := ""
	for {
		s.mu.Lock()
		s.note(time.Now(), 0)
		s.mu.Unlock()
		if err := s.reads.Wait(ctx); err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		target := "/keys?starts=" + url.QueryEscape(prefix) + "&page=500"
		if from != "" {
			target += "&from=" + url.QueryEscape(from)
		}
		var page protocol.Page
		if err := s.do(ctx, "GET", target, nil, &page); err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		if rev == 0 {
			rev = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, rev, nil
		}
		from = page.Items[len(page.Items)-1].Key
	}
}

// Precedence says who yields when this controller's share of changes runs short.
type Precedence int

// The precedences of transactions.
const (
	First Precedence = iota // what users and sessions wait for
	Later                   // what can be a moment late, as machines of a wave that all register
	Spare                   // what is only to be kept up to date, as bitmaps
)

// yields reports whether n changes have to leave what there is to others. With
// nothing used lately nobody has to.
func (s *Client) yields(now time.Time, n int, p Precedence) bool {
	have, most := s.writes.TokensAt(now), float64(s.writes.Burst())
	return have < most && have-float64(n) < most*float64(p)/4
}

// CompareAndSwap executes a transaction and returns its revision.
func (s *Client) CompareAndSwap(ctx context.Context, t protocol.Transaction, p Precedence) (protocol.Revision, error) {
	if !s.ask(len(t.Changes), p, true) {
		return 0, serviceclient.ErrRefused
	}
	if t.Conditions == nil {
		t.Conditions = []protocol.Condition{}
	}
	if t.Changes == nil {
		t.Changes = []protocol.Change{}
	}
	var reply protocol.TransactionReply
	err := s.do(ctx, "POST", "/txn", t, &reply)
	return reply.Revision, err
}

// Compare holds versions against those of the records, in one request, and
// returns the keys of which the service says that they differ, with serviceclient.ErrConflict.
// One that fails counts as a change there.
func (s *Client) Compare(ctx context.Context, conditions []protocol.Condition) ([]string, error) {
	if !s.ask(0, First, true) {
		return nil, serviceclient.ErrRefused
	}
	var reply protocol.TransactionReply
	err := s.do(ctx, "POST", "/txn", protocol.Transaction{Conditions: conditions, Changes: []protocol.Change{}}, &reply)
	if errors.Is(err, serviceclient.ErrConflict) {
		s.mu.Lock()
		s.writes.AllowN(time.Now(), 1)
		s.mu.Unlock()
	}
	return reply.Failed, err
}

// GrantLease asks for a lease.
func (s *Client) GrantLease(ctx context.Context, ttl time.Duration) (protocol.LeaseID, error) {
	var reply protocol.LeaseReply
	s.ask(0, First, false)
	err := s.do(ctx, "POST", "/holds", protocol.LeaseRequest{TTLMS: ttl.Milliseconds()}, &reply)
	return reply.Lease, err
}

// KeepAlive renews a lease. It never waits for the budget: everything else
// yields to it.
func (s *Client) KeepAlive(ctx context.Context, id protocol.LeaseID) error {
	s.ask(0, First, false)
	return s.do(ctx, "POST", "/holds/"+strconv.FormatUint(uint64(id), 10)+"/extend", struct{}{}, nil)
}

// RevokeLease ends a lease at once, and with it the keys attached to it.
func (s *Client) RevokeLease(ctx context.Context, id protocol.LeaseID) error {
	return s.do(ctx, "DELETE", fmt.Sprintf("/holds/%d", id), nil, nil)
}

// Watch waits for changes of keys with a prefix after a revision. Each change
// ends a watch, and opening the next is a request too: many changes in a row
// would use up the rate that leases need, so no more than a quarter of this
// controller's share goes to watches, and they bring several changes at once.
func (s *Client) Watch(ctx context.Context, prefix string, from protocol.Revision, hold time.Duration) (protocol.Events, error) {
	var ev protocol.Events
	if err := s.opens.Wait(ctx); err != nil {
		return ev, err
	}
	s.ask(0, First, false)
	ctx, cancel := context.WithTimeout(ctx, hold+3*time.Second)
	defer cancel()
	target := fmt.Sprintf("/follow?starts=%s&from=%d&hold_ms=%d", url.QueryEscape(prefix), from, hold.Milliseconds())
	m, err := s.follow.Do(ctx, "GET", target, nil)
	if err != nil {
		return ev, err
	}
	err = serviceclient.DecodeResponse(m, &ev)
	return ev, err
}
