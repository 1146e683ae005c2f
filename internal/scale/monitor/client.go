package monitor

import (
	"fmt"
	"sync"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

// callTimeout bounds the duration of an RPC to the monitor.
const callTimeout = 10 * time.Second

// Client calls the monitor from a worker process or from the process of the users.
type Client struct {
	process string
	peer    *transport.Peer

	mu         sync.Mutex
	lastNumber uint64    // of the last exchange
	pending    *Exchange // exchange without a reply, to be repeated
}

// NewClient returns a client of the monitor at an address for the process with a name.
func NewClient(process, addr string) *Client {
	return &Client{process: process, peer: transport.NewPeer(addr)}
}

// Exchange sends the events that the process has observed and returns the directives that it
// has to execute. The collect function gathers the events; it is not called when an earlier
// exchange has to be repeated. After an error, the next call repeats the exchange with the same
// events.
func (c *Client) Exchange(collect func() Exchange) ([]Directive, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		exchange := collect()
		c.lastNumber++
		exchange.Process, exchange.Number = c.process, c.lastNumber
		c.pending = &exchange
	}
	var out Directives
	if err := c.peer.Call(Service+".Exchange", *c.pending, &out, callTimeout); err != nil {
		return nil, fmt.Errorf("exchange with monitor: %w", err)
	}
	c.pending = nil
	return out.List, nil
}

// Upload stores a job's description at the monitor.
func (c *Client) Upload(job protocol.Job) error {
	descriptions := Descriptions{Jobs: map[protocol.JobID]protocol.Job{job.ID: job}}
	if err := c.peer.Call(Service+".Upload", descriptions, &Empty{}, callTimeout); err != nil {
		return fmt.Errorf("upload job %s: %w", job.ID, err)
	}
	return nil
}

// Describe returns the descriptions of jobs; jobs that the monitor does not have are left
// out.
func (c *Client) Describe(ids []protocol.JobID) (map[protocol.JobID]protocol.Job, error) {
	var out Descriptions
	if err := c.peer.Call(Service+".Describe", DescribeRequest{ids}, &out, callTimeout); err != nil {
		return out.Jobs, fmt.Errorf("describe jobs: %w", err)
	}
	return out.Jobs, nil
}
