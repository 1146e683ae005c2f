package operatorapi

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

const (
	// attemptTimeout bounds a request to one controller.
	attemptTimeout = 4 * time.Second
	// retryInterval is the pause after all controllers have been asked.
	retryInterval = 500 * time.Millisecond
)

var (
	errNotSettled = errors.New("no controller settled it: nothing is known of a change; the same request can be repeated")
	errNoRequests = errors.New("takes no operators' requests")
	errStatus     = errors.New("status")
)

// LaterError is returned by a controller that can't decide a request now.
type LaterError struct{ Reason string }

// Error implements error.
func (e *LaterError) Error() string { return e.Reason }

// Client sends requests to controllers, one after the other, until one settles them.
type Client struct {
	key         Key
	controllers []*transport.Client
}

// NewClient makes a client of the controllers at addrs.
func NewClient(key Key, addrs []string) *Client {
	c := &Client{key: key}
	for _, addr := range addrs {
		c.controllers = append(c.controllers, transport.NewClient(addr))
	}
	return c
}

// Do sends a request until a controller settles it or the context ends. The ID of a change
// makes it idempotent, so that it can be sent again.
func (c *Client) Do(ctx context.Context, r Request) (Reply, error) {
	var last error
	for attempt := 0; ctx.Err() == nil; attempt++ {
		next := attempt % len(c.controllers)
		reply, err := c.ask(ctx, c.controllers[next], r)
		if err == nil {
			return reply, nil
		}
		last = err
		if next == len(c.controllers)-1 {
			pause(ctx)
		}
	}
	return Reply{}, fmt.Errorf("%w: %w", errNotSettled, last)
}

// pause waits for the retry interval or the end of the context.
func pause(ctx context.Context) {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ask sends a request to one controller.
func (c *Client) ask(ctx context.Context, controller *transport.Client, r Request) (Reply, error) {
	body, err := Seal(c.key, time.Now(), r)
	if err != nil {
		return Reply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, err := controller.Do(ctx, http.MethodPost, Path, body)
	if err != nil {
		return Reply{}, err //nolint:wrapcheck // it names the request and the controller
	}
	return parseReply(response)
}

// parseReply turns a response into a reply that settles the request, or an error.
func parseReply(response *transport.Message) (Reply, error) {
	if response.Status == http.StatusNotFound && len(response.Body) > 0 {
		var e protocol.ErrorBody
		if err := protocol.Decode(response.Body, &e); err == nil && e.Error != "" {
			return Reply{}, fmt.Errorf("%w: %s", errNoRequests, e.Error)
		}
	}
	var reply Reply
	if err := protocol.Decode(response.Body, &reply); err != nil || reply.Code == "" {
		return Reply{}, fmt.Errorf("%w %d", errStatus, response.Status)
	}
	if reply.Code == RetryLater {
		return Reply{}, &LaterError{Reason: reply.Reason}
	}
	return reply, nil
}
