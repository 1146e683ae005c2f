package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"damsonkeel/internal/protocol"
)

// GrantLease creates a lease that ends unless it is renewed within ttl. Like all requests about
// leases, it never waits for the budget; other requests have to wait instead.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (protocol.LeaseID, error) {
	var reply protocol.LeaseReply
	c.budget.takeUnconditionally()
	err := c.do(ctx, http.MethodPost, "/holds", protocol.LeaseRequest{TTLMS: ttl.Milliseconds()}, &reply)
	return reply.Lease, err
}

// KeepAlive renews a lease for its ttl. It returns serviceclient.ErrNotFound if the lease has
// ended.
func (c *Client) KeepAlive(ctx context.Context, id protocol.LeaseID) error {
	c.budget.takeUnconditionally()
	return c.do(ctx, http.MethodPost, leasePath(id)+"/extend", struct{}{}, nil)
}

// RevokeLease ends a lease at once, which deletes the keys attached to it.
func (c *Client) RevokeLease(ctx context.Context, id protocol.LeaseID) error {
	return c.do(ctx, http.MethodDelete, leasePath(id), nil, nil)
}

// leasePath returns the path of a lease in the store's HTTP interface.
func leasePath(id protocol.LeaseID) string { return fmt.Sprintf("/holds/%d", id) }
