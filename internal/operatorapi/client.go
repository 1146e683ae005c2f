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

// RetryLaterError is the error for a reply with the code RetryLater: the controller can't
// decide the request now. Reason is the reason in that reply.
type RetryLaterError struct{ Reason string }

// Error implements error.
func (e *RetryLaterError) Error() string { return e.Reason }

// Client sends each request, sealed with the key, to the controllers one after the other,
// until one of them settles it: until it replies with any code but RetryLater.
type Client struct {
	key         Key
	controllers []*transport.Client
}

// NewClient returns a client of the controllers at addrs, of which there must be at least
// one. It seals requests with key and opens no connection yet.
func NewClient(key Key, addrs []string) *Client {
	c := &Client{key: key}
	for _, addr := range addrs {
		c.controllers = append(c.controllers, transport.NewClient(addr))
	}
	return c
}

// Do sends a request to the controllers in turn, with a pause after each round, and returns
// the first reply with a code other than RetryLater, be it a refusal. If the context ends
// before, it returns an error that wraps that of the last attempt; the request may have been
// executed nevertheless. Retries are safe, since changes are idempotent: OpAdd and
// OpConfigure by the request's ID, the others because they set a state.
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

// sendTo seals a request and sends it to one controller within attemptTimeout. It returns
// an error if the controller does not respond or does not settle the request.
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

// parseReply decodes the reply in a response. It returns an error if the reply's code is
// RetryLater, if the controller accepts no operators' requests (status 404 with an
// ErrorBody), or if the body is no reply.
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
