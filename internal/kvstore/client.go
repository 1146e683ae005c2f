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
	callTimeout = 1500 * time.Millisecond
	// watchGrace is how much longer than its hold time a watch may take to answer.
	watchGrace = 3 * time.Second
	// watchPart is the part of the allotment of requests that goes to watches.
	watchPart = 1.0 / 4
	// pageSize is how many keys a page of a list has.
	pageSize = 500
)

// Client is a client of the key-value store that keeps to this controller's allotment.
type Client struct {
	calls   *transport.Client
	watches *transport.Client
	budget  *rateBudget
	opens   *rate.Limiter // of watches
}

// NewClient makes a client of the store at addr. The rates are those of all count
// controllers together; the client keeps to an equal part until SetAllotment.
func NewClient(addr string, rps, writeRPS float64, count int) *Client {
	allotment := EqualAllotment(rps, writeRPS, count)
	return &Client{
		calls:   transport.NewClient(addr),
		watches: transport.NewClient(addr),
		budget:  newRateBudget(allotment),
		opens:   rate.NewLimiter(rate.Limit(allotment.Requests*watchPart), 1),
	}
}

// SetAllotment sets the allotment to all until a time, if that is not past, and to own
// from then on.
func (c *Client) SetAllotment(own, all RateAllotment, until time.Time) {
	c.budget.set(own, all, until)
}

// DemandedRate is what was demanded since its last call, within the allotment or not.
func (c *Client) DemandedRate() RateAllotment { return c.budget.takeDemanded() }

func (c *Client) do(ctx context.Context, method, target string, in, out any) error {
	if err := serviceclient.Call(ctx, c.calls, callTimeout, method, target, in, out); err != nil {
		return fmt.Errorf("key-value store: %w", err)
	}
	return nil
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (protocol.Item, error) {
	var item protocol.Item
	if !c.budget.allow(0, PriorityHigh) {
		return item, serviceclient.ErrRefused
	}
	err := c.do(ctx, http.MethodGet, "/keys/"+key, nil, &item)
	return item, err
}

// List reads all keys with a prefix, page by page. The revision is that of the first
// page: a watch from it misses no change.
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

// listPage reads the page of keys after a key, or the first one.
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

// CompareAndSwap executes a transaction and returns its revision.
func (c *Client) CompareAndSwap(ctx context.Context, t protocol.Transaction, p Priority) (protocol.Revision, error) {
	if !c.budget.allow(len(t.Changes), p) {
		return 0, serviceclient.ErrRefused
	}
	// The store takes an empty list, but not a missing one.
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

// Compare compares the versions of records, all in one request. Where some differ it
// returns their keys and serviceclient.ErrConflict.
func (c *Client) Compare(ctx context.Context, conditions []protocol.Condition) ([]string, error) {
	if !c.budget.allow(0, PriorityHigh) {
		return nil, serviceclient.ErrRefused
	}
	var reply protocol.TransactionReply
	err := c.do(ctx, http.MethodPost, "/txn", protocol.Transaction{Conditions: conditions, Changes: []protocol.Change{}}, &reply)
	if errors.Is(err, serviceclient.ErrConflict) {
		c.budget.takeWrite() // the store counts a failed transaction as a change
	}
	return reply.Failed, err
}

// Watch waits up to hold for changes of keys with a prefix after a revision. Each change
// ends a watch, and opening the next one is a request too: many changes in a row would
// use up the rate that leases need. So watches are opened at a limited rate, and bring
// several changes at once.
func (c *Client) Watch(ctx context.Context, prefix string, after protocol.Revision, hold time.Duration) (protocol.Events, error) {
	var events protocol.Events
	if err := c.opens.Wait(ctx); err != nil {
		return events, fmt.Errorf("watch %s: wait for the rate limit: %w", prefix, err)
	}
	c.budget.takeUnlimited()
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
