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
	callTimeout = 5 * time.Second
	// ratePart is the part of the cloud's rate that each controller may use.
	ratePart = 0.6
	// burstSeconds is how many seconds' worth of the rate may be used at once.
	burstSeconds = 2
	// pageSize is how many machines a page of the list has.
	pageSize = 500
)

// Client is a client of the cloud that keeps to this controller's part of its rate.
type Client struct {
	client *transport.Client
	limit  *rate.Limiter
}

// NewClient makes a client of the cloud at addr. One controller at a time provisions and
// lists machines, and the others only read the catalogue once a minute, so each may use
// most of the configured rate. What two of them exceed during a failover the cloud
// refuses, without harm.
func NewClient(addr string, rps float64) *Client {
	part := rps * ratePart
	burst := max(1, int(burstSeconds*part))
	return &Client{client: transport.NewClient(addr), limit: rate.NewLimiter(rate.Limit(part), burst)}
}

func (c *Client) do(ctx context.Context, method, target string, in, out any) error {
	if err := c.limit.Wait(ctx); err != nil {
		return serviceclient.ErrRefused
	}
	if err := serviceclient.Call(ctx, c.client, callTimeout, method, target, in, out); err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	return nil
}

// Catalogue reads the machine types.
func (c *Client) Catalogue(ctx context.Context) (protocol.Catalogue, error) {
	var catalogue protocol.Catalogue
	err := c.do(ctx, http.MethodGet, "/catalog", nil, &catalogue)
	return catalogue, err
}

// Provision provisions machines.
func (c *Client) Provision(ctx context.Context, r protocol.ProvisionRequest) ([]protocol.MachineID, error) {
	var provisioned protocol.MachineNames
	err := c.do(ctx, http.MethodPost, "/hosts", r, &provisioned)
	return provisioned.Machines, err
}

// Terminate terminates machines. Without an error they no longer exist.
func (c *Client) Terminate(ctx context.Context, ids []protocol.MachineID) error {
	return c.do(ctx, http.MethodPost, "/hosts/delete", protocol.MachineNames{Machines: ids}, nil)
}

// ListMachines lists all machines, page by page.
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
