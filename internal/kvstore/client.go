package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/serviceclient"
	"damsonkeel/internal/transport"

	"golang.org/x/time/rate"
)

const (
	// callTimeout is how long the store may take to answer a request other than a watch.
	callTimeout = 1500 * time.Millisecond
	// watchGrace is how long after its hold time the store may take to answer a watch.
	watchGrace = 3 * time.Second
	// watchFraction is the fraction of the equal allotment of requests that watches may use.
	watchFraction = 1.0 / 4
	// pageSize is the number of keys in a page of a list.
	pageSize = 500
)

// Client is a client of the key-value store that limits its requests to this controller's
// allotment.
type Client struct {
	calls        *transport.Client // connections for all requests but watches
	watches      *transport.Client // connections for watches
	budget       *rateBudget
	watchLimiter *rate.Limiter // rate at which watches are opened
}

// NewClient returns a client of the store at addr. rps and writeRPS are the requests and the
// writes a second that the store grants to all count controllers together. The client limits
// itself to an equal part of them until SetAllotment is called.
func NewClient(addr string, rps, writeRPS float64, count int) *Client {
	allotment := EqualAllotment(rps, writeRPS, count)
	return &Client{
		calls:        transport.NewClient(addr),
		watches:      transport.NewClient(addr),
		budget:       newRateBudget(allotment),
		watchLimiter: rate.NewLimiter(rate.Limit(allotment.Requests*watchFraction), 1),
	}
}

// SetAllotment sets the allotment: all, which includes borrowed rates, until the given time,
// and own from then on. If the time has passed, own applies at once.
func (c *Client) SetAllotment(own, all RateAllotment, until time.Time) {
	c.budget.set(own, all, until)
}

// TakeDemandedRate returns the numbers of requests and writes that callers have demanded since
// the last call, whether they were sent or refused, and resets the counts.
func (c *Client) TakeDemandedRate() RateAllotment { return c.budget.takeDemanded() }

// do sends one request with in as its body and decodes its response into out; either may be nil.
// The errors are those of serviceclient.Call. It does not use the budget.
func (c *Client) do(ctx context.Context, method, target string, in, out any) error {
	if err := serviceclient.Call(ctx, c.calls, callTimeout, method, target, in, out); err != nil {
		return fmt.Errorf("key-value store: %w", err)
	}
	return nil
}

// Get reads a key. It returns serviceclient.ErrNotFound if the key does not exist, and
// serviceclient.ErrRefused without sending a request if the budget is exhausted.
func (c *Client) Get(ctx context.Context, key string) (protocol.Item, error) {
	var item protocol.Item
	if !c.budget.allow(0, PriorityHigh) {
		return item, serviceclient.ErrRefused
	}
	err := c.do(ctx, http.MethodGet, "/keys/"+key, nil, &item)
	return item, err
}

// List reads all keys with a prefix, page by page, and waits for the budget before each page. It
// returns the revision of the first page: a watch from that revision misses no change. The
// pages are read at different times, so the items are not a snapshot of one revision.
func (c *Client) List(ctx context.Context, prefix string) ([]protocol.Item, protocol.Revision, error) {
	var items []protocol.Item
	var revision protocol.Revision
	after := ""
	for {
		page, err := c.listPage(ctx, prefix, after)
		if err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		if revision == 0 {
			revision = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// listPage reads the page of keys after the given key, or the first page if the key is
// empty.
func (c *Client) listPage(ctx context.Context, prefix, after string) (protocol.Page, error) {
	var page protocol.Page
	c.budget.countRead()
	if err := c.budget.requests.Wait(ctx); err != nil {
		return page, fmt.Errorf("wait for the rate limit: %w", err)
	}
	target := fmt.Sprintf("/keys?starts=%s&page=%d", url.QueryEscape(prefix), pageSize)
	if after != "" {
		target += "&from=" + url.QueryEscape(after)
	}
	err := c.do(ctx, http.MethodGet, target, nil, &page)
	return page, err
}

// CompareAndSwap executes a transaction and returns its revision. It returns
// serviceclient.ErrConflict if a condition does not hold, and serviceclient.ErrRefused without
// sending a request if the budget, or the part of it for transactions of priority p, is exhausted.
func (c *Client) CompareAndSwap(ctx context.Context, t protocol.Transaction, p Priority) (protocol.Revision, error) {
	if !c.budget.allow(len(t.Changes), p) {
		return 0, serviceclient.ErrRefused
	}
	// The store accepts an empty list, but not a missing one.
	if t.Conditions == nil {
		t.Conditions = []protocol.Condition{}
	}
	if t.Changes == nil {
		t.Changes = []protocol.Change{}
	}
	var reply protocol.TransactionReply
	err := c.do(ctx, http.MethodPost, "/txn", t, &reply)
	return reply.Revision, err
}

// Compare checks the versions of records in one request. If some differ from the expected
// ones, it returns their keys and serviceclient.ErrConflict. It returns
// serviceclient.ErrRefused without sending a request if the budget is exhausted.
func (c *Client) Compare(ctx context.Context, conditions []protocol.Condition) ([]string, error) {
	if !c.budget.allow(0, PriorityHigh) {
		return nil, serviceclient.ErrRefused
	}
	var reply protocol.TransactionReply
	err := c.do(ctx, http.MethodPost, "/txn", protocol.Transaction{Conditions: conditions, Changes: []protocol.Change{}}, &reply)
	if errors.Is(err, serviceclient.ErrConflict) {
		c.budget.takeWrite() // the store counts a failed transaction as a write
	}
	return reply.Failed, err
}

// Watch waits up to hold for changes of keys with a prefix after a revision, and returns them in
// order with the revision from which to watch next. It returns serviceclient.ErrCompacted if
// the store no longer has the changes after the revision.
//
// Each change ends the watch, and the next watch is a further request: many changes in a row
// would use up the rate that leases need. So watches are opened at a limited rate, and a watch
// returns several changes at once.
func (c *Client) Watch(ctx context.Context, prefix string, after protocol.Revision, hold time.Duration) (protocol.Events, error) {
	var events protocol.Events
	if err := c.watchLimiter.Wait(ctx); err != nil {
		return events, fmt.Errorf("watch %s: wait for the rate limit: %w", prefix, err)
	}
	c.budget.takeUnconditionally()
	ctx, cancel := context.WithTimeout(ctx, hold+watchGrace)
	defer cancel()
	target := fmt.Sprintf("/follow?starts=%s&from=%d&hold_ms=%d", url.QueryEscape(prefix), after, hold.Milliseconds())
	response, err := c.watches.Do(ctx, http.MethodGet, target, nil)
	if err != nil {
		return events, fmt.Errorf("watch %s: %w", prefix, err)
	}
	if err := serviceclient.DecodeResponse(response, &events); err != nil {
		return events, fmt.Errorf("watch %s: %w", prefix, err)
	}
	return events, nil
}
