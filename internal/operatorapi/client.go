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
	// attemptTimeout bounds one attempt to send a request to one controller.
	attemptTimeout = 4 * time.Second
	// retryInterval is the pause after a request has been sent to all controllers.
	retryInterval = 500 * time.Millisecond
)

var (
	errNotSettled       = errors.New("no controller settled it: nothing is known of a change; the same request can be repeated")
	errRequestsDisabled = errors.New("takes no operators' requests")
	errStatus           = errors.New("status")
)

// RetryLaterError is the error for a reply that the controller can't decide the request now.
type RetryLaterError struct{ Reason string }

// Error implements error.
func (e *RetryLaterError) Error() string { return e.Reason }

// Client sends each request to the controllers, one after the other, until one of them
// settles it.
type Client struct {
	key         Key
	controllers []*transport.Client
}

// NewClient returns a client of the controllers at addrs.
func NewClient(key Key, addrs []string) *Client {
	c := &Client{key: key}
	for _, addr := range addrs {
		c.controllers = append(c.controllers, transport.NewClient(addr))
	}
	return c
}

// Do sends a request until a controller settles it or the context ends. Retries are safe,
// since the ID of a change makes it idempotent.
func (c *Client) Do(ctx context.Context, r Request) (Reply, error) {
	var lastErr error
	for attempt := 0; ctx.Err() == nil; attempt++ {
		index := attempt % len(c.controllers)
		reply, err := c.sendTo(ctx, c.controllers[index], r)
		if err == nil {
			return reply, nil
		}
		lastErr = err
		if index == len(c.controllers)-1 {
			waitRetryInterval(ctx)
		}
	}
	return Reply{}, fmt.Errorf("%w: %w", errNotSettled, lastErr)
}

// waitRetryInterval waits for the end of the retry interval or of the context.
func waitRetryInterval(ctx context.Context) {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// sendTo sends a request to one controller.
func (c *Client) sendTo(ctx context.Context, controller *transport.Client, r Request) (Reply, error) {
	body, err := Seal(c.key, time.Now(), r)
	if err != nil {
		return Reply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, err := controller.Do(ctx, http.MethodPost, Path, body)
	if err != nil {
		return Reply{}, err //nolint:wrapcheck // the error names the request and the controller
	}
	return parseReply(response)
}

// parseReply returns the reply in a response if it settles the request, or an error.
func parseReply(response *transport.Message) (Reply, error) {
	if response.Status == http.StatusNotFound && len(response.Body) > 0 {
		var e protocol.ErrorBody
		if err := protocol.Decode(response.Body, &e); err == nil && e.Error != "" {
			return Reply{}, fmt.Errorf("%w: %s", errRequestsDisabled, e.Error)
		}
	}
	var reply Reply
	if err := protocol.Decode(response.Body, &reply); err != nil || reply.Code == "" {
		return Reply{}, fmt.Errorf("%w %d", errStatus, response.Status)
	}
	if reply.Code == RetryLater {
		return Reply{}, &RetryLaterError{Reason: reply.Reason}
	}
	return reply, nil
}
