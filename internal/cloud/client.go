package cloud

import (
	"context"
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
	// callTimeout bounds the wait for the response to one request.
	callTimeout = 5 * time.Second
	// rateFraction is the fraction of the cloud's request rate that each controller may use.
	rateFraction = 0.6
	// burstSeconds is the size of a burst, as the number of seconds in which the
	// controller's rate allows as many requests.
	burstSeconds = 2
	// pageSize is the number of machines to request per page of the machine list.
	pageSize = 500
)

// Client sends requests to the cloud, limited to this controller's fraction of the
// cloud's request rate.
type Client struct {
	client  *transport.Client
	limiter *rate.Limiter
}

// NewClient returns a client of the cloud at addr that accepts rps requests per second
// from all controllers together. Only one controller at a time provisions and lists
// machines, and the others only read the catalogue once a minute, so each controller may
// use most of the rate. During a failover two controllers may exceed the rate together;
// the cloud then refuses the excess requests, which is harmless.
func NewClient(addr string, rps float64) *Client {
	limit := rps * rateFraction
	burst := max(1, int(burstSeconds*limit))
	return &Client{client: transport.NewClient(addr), limiter: rate.NewLimiter(rate.Limit(limit), burst)}
}

// do waits for the rate limiter, sends a request with the body in, and decodes the response
// body into out; either may be nil. It returns ErrRefused, without sending, if ctx ends
// before the limiter allows the request.
func (c *Client) do(ctx context.Context, method, target string, in, out any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return serviceclient.ErrRefused
	}
	if err := serviceclient.Call(ctx, c.client, callTimeout, method, target, in, out); err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	return nil
}

// Catalogue reads the catalogue of the machine types that the cloud has, with their sizes and
// prices.
func (c *Client) Catalogue(ctx context.Context) (protocol.Catalogue, error) {
	var catalogue protocol.Catalogue
	err := c.do(ctx, http.MethodGet, "/catalog", nil, &catalogue)
	return catalogue, err
}

// Provision requests new machines and returns their ids. A repetition with the same Name
// provisions no further machines.
func (c *Client) Provision(ctx context.Context, r protocol.ProvisionRequest) ([]protocol.MachineID, error) {
	var provisioned protocol.MachineNames
	err := c.do(ctx, http.MethodPost, "/hosts", r, &provisioned)
	return provisioned.Machines, err
}

// Terminate terminates machines. If it returns no error, they no longer exist.
func (c *Client) Terminate(ctx context.Context, ids []protocol.MachineID) error {
	return c.do(ctx, http.MethodPost, "/hosts/delete", protocol.MachineNames{Machines: ids}, nil)
}

// ListMachines reads all pages of the cloud's list of machines, one request each, and returns
// their machines. If one page can't be read, it returns an error and no machines.
func (c *Client) ListMachines(ctx context.Context) ([]protocol.ListedMachine, error) {
	var all []protocol.ListedMachine
	after := ""
	for {
		target := fmt.Sprintf("/hosts?page=%d", pageSize)
		if after != "" {
			target += "&from=" + url.QueryEscape(after)
		}
		var page protocol.MachineList
		if err := c.do(ctx, http.MethodGet, target, nil, &page); err != nil {
			return nil, fmt.Errorf("list machines: %w", err)
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		after = string(page.Machines[len(page.Machines)-1].ID)
	}
}
