package operatorapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

// Client puts requests to controllers, one after the other until one settles it.
type Client struct {
	key   Key
	nodes []*transport.Client
}

// NewClient makes a client of controllers' addresses.
func NewClient(key Key, addrs []string) *Client {
	c := &Client{key: key}
	for _, a := range addrs {
		c.nodes = append(c.nodes, transport.NewClient(a))
	}
	return c
}

// askEach is how long one controller gets to answer.
const askEach = 4 * time.Second

// errLater is that no controller could settle a request in time.
var errLater = errors.New("no controller settled it: nothing is known of a change; the same request can be repeated")

// Do puts a request until it is settled or the context ends. A change has an id,
// so that asking again changes nothing more.
func (c *Client) Do(ctx context.Context, r Request) (Reply, error) {
	var last error
	for i := 0; ctx.Err() == nil; i++ {
		reply, err := c.ask(ctx, c.nodes[i%len(c.nodes)], r)
		if err == nil && reply.Code != Later {
			return reply, nil
		}
		if last = err; err == nil {
			last = errors.New(reply.Reason)
		}
		if (i+1)%len(c.nodes) == 0 {
			t := time.NewTimer(500 * time.Millisecond)
			select {
			case <-t.C:
			case <-ctx.Done():
				t.Stop()
			}
		}
	}
	return Reply{}, fmt.Errorf("%w: %w", errLater, last)
}

func (c *Client) ask(ctx context.Context, node *transport.Client, r Request) (Reply, error) {
	body, err := Seal(c.key, time.Now(), r)
	if err != nil {
		return Reply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, askEach)
	defer cancel()
	m, err := node.Do(ctx, "POST", Path, body)
	if err != nil {
		return Reply{}, err
	}
	if m.Status == 404 && len(m.Body) > 0 {
		var e protocol.ErrorBody
		if err := protocol.Decode(m.Body, &e); err == nil && e.Error != "" {
			return Reply{}, fmt.Errorf("takes no operators' requests: %s", e.Error)
		}
	}
	var reply Reply
	if err := protocol.Decode(m.Body, &reply); err != nil || reply.Code == "" {
		return Reply{}, fmt.Errorf("status %d", m.Status)
	}
	return reply, nil
}
