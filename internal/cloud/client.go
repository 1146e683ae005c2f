// Package cloud is a client of the service that provisions and terminates machines.
package cloud

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"damsonkeel/internal/serviceclient"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"

	"golang.org/x/time/rate"
)

const cloudTimeout = 5 * time.Second

// Client is a client of the cloud that keeps to this controller's share of its rate.
type Client struct {
	client *transport.Client
	calls  *rate.Limiter
}

// NewClient makes a client. One controller at a time rents and lists, the
// others only read the catalogue once a minute, so each may use most of the
// configured rate; what two of them exceed while the role passes is refused
// by the cloud, without harm.
func NewClient(addr string, rps float64) *Client {
	share := rps * 0.6
	return &Client{client: transport.NewClient(addr), calls: rate.NewLimiter(rate.Limit(share), max(1, int(2*share)))}
}

func (c *Client) do(ctx context.Context, method, target string, in, out any) error {
	if err := c.calls.Wait(ctx); err != nil {
		return serviceclient.ErrRefused
	}
	return serviceclient.Call(ctx, c.client, cloudTimeout, method, target, in, out)
}

// Catalogue reads the machine types.
func (c *Client) Catalogue(ctx context.Context) (protocol.Catalogue, error) {
	var cat protocol.Catalogue
	err := c.do(ctx, "GET", "/catalog", nil, &cat)
	return cat, err
}

// Rent asks for machines.
func (c *Client) Rent(ctx context.Context, r protocol.ProvisionRequest) ([]protocol.MachineID, error) {
	var got protocol.MachineNames
	err := c.do(ctx, "POST", "/hosts", r, &got)
	return got.Machines, err
}

// Delete returns machines. When it returns without an error they are gone.
func (c *Client) Delete(ctx context.Context, ids []protocol.MachineID) error {
	return c.do(ctx, "POST", "/hosts/delete", protocol.MachineNames{Machines: ids}, nil)
}

// Machines lists all machines, page by page.
func (c *Client) Machines(ctx context.Context) ([]protocol.ListedMachine, error) {
	var all []protocol.ListedMachine
	from := ""
	for {
		target := "/hosts?page=500"
		if from != "" {
			target += "&from=" + url.QueryEscape(from)
		}
		var page protocol.MachineList
		if err := c.do(ctx, "GET", target, nil, &page); err != nil {
			return nil, fmt.Errorf("list machines: %w", err)
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		from = string(page.Machines[len(page.Machines)-1].ID)
	}
}
