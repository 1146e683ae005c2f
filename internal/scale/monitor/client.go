package monitor

import (
	"fmt"
	"sync"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

// callTimeout bounds a call of the monitor.
const callTimeout = 10 * time.Second

// Client calls the monitor from a process of workers or users.
type Client struct {
	process string
	peer    *transport.Peer

	mu      sync.Mutex
	number  uint64    // of the last exchange
	pending *Exchange // whose answer was lost: it is repeated
}

// NewClient returns a client for a process and the monitor's address.
func NewClient(process, addr string) *Client {
	return &Client{process: process, peer: transport.NewPeer(addr)}
}

// Exchange sends what the process has observed and returns what it is to do. Collect
// gathers the observations; it is not called while an earlier exchange is repeated.
func (c *Client) Exchange(collect func() Exchange) ([]Directive, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		exchange := collect()
		c.number++
		exchange.Process, exchange.Number = c.process, c.number
		c.pending = &exchange
	}
	var out Directives
	if err := c.peer.Call(Service+".Exchange", *c.pending, &out, callTimeout); err != nil {
		return nil, fmt.Errorf("exchange with monitor: %w", err)
	}
	c.pending = nil
	return out.List, nil
}

// Upload sends a job's description.
func (c *Client) Upload(job protocol.Job) error {
	descriptions := Descriptions{Jobs: map[protocol.JobID]protocol.Job{job.ID: job}}
	if err := c.peer.Call(Service+".Upload", descriptions, &Empty{}, callTimeout); err != nil {
		return fmt.Errorf("upload job %s: %w", job.ID, err)
	}
	return nil
}

// Describe returns the descriptions of jobs.
func (c *Client) Describe(ids []protocol.JobID) (map[protocol.JobID]protocol.Job, error) {
	var out Descriptions
	if err := c.peer.Call(Service+".Describe", DescribeRequest{ids}, &out, callTimeout); err != nil {
		return out.Jobs, fmt.Errorf("describe jobs: %w", err)
	}
	return out.Jobs, nil
}
