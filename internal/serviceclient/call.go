package serviceclient

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

// Errors that callers distinguish. After any other error the request may have been
// executed, or may still be.
var (
	// ErrRefused is returned for a request that was not executed: the service is
	// unavailable or limits the rate, or the caller's budget is used up.
	ErrRefused = errors.New("not executed")
	// ErrConflict is returned if a condition of the transaction does not hold.
	ErrConflict = errors.New("condition does not hold")
	// ErrNotFound is returned if the key or lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrCompacted is returned to a watch from a revision that the store has compacted.
	ErrCompacted = errors.New("changes no longer kept")
	// ErrMalformed is returned if the service rejects the request as malformed.
	ErrMalformed = errors.New("called malformed")

	errUnexpectedStatus = errors.New("unexpected status")
)

// Call sends a request with in as its body, if that is not nil, and decodes the response
// into out, unless that is nil.
func Call(ctx context.Context, client *transport.Client, timeout time.Duration, method, target string, in, out any) error {
	var body []byte
	if in != nil {
		encoded, err := protocol.Encode(in)
		if err != nil {
			return fmt.Errorf("%s %s: %w", method, target, err)
		}
		body = encoded
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := client.Do(ctx, method, target, body)
	if err != nil {
		client.CloseIdleConnections() // other idle connections to an unreachable service are dead too
		return fmt.Errorf("call the service: %w", err)
	}
	return DecodeResponse(response, out)
}

// DecodeResponse turns a response into an error or its body.
func DecodeResponse(m *transport.Message, out any) error {
	switch m.Status {
	case http.StatusOK:
		return decodeBody(m, out)
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		if err := decodeBody(m, out); err != nil {
			return fmt.Errorf("%w, and its body can't be read", ErrConflict)
		}
		return ErrConflict
	case http.StatusGone:
		return ErrCompacted
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("status %d: %w", m.Status, ErrRefused)
	case http.StatusBadRequest:
		return fmt.Errorf("%w: %.100q", ErrMalformed, m.Body)
	}
	return fmt.Errorf("%w %d", errUnexpectedStatus, m.Status)
}

// decodeBody decodes the body of a response into out, unless that is nil.
func decodeBody(m *transport.Message, out any) error {
	if out == nil {
		return nil
	}
	if err := protocol.Decode(m.Body, out); err != nil {
		return fmt.Errorf("response body: %w", err)
	}
	return nil
}
