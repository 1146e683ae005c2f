// Package serviceclient sends one CBOR request to a service of the platform and turns
// its response into a value or a typed error. The clients of the key-value store and
// of the cloud are built on it.
package serviceclient

import (
	"context"
	"errors"
	"fmt"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

// Errors that callers tell apart. Anything else is a request that may have
// been executed, or may still be.
var (
	// ErrRefused: the request was not executed (503, 429, out of budget).
	ErrRefused = errors.New("not executed")
	// ErrConflict: a condition of the transaction does not hold.
	ErrConflict = errors.New("condition does not hold")
	// ErrNotFound: the key or lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrCompacted: the watch asked for changes no longer kept.
	ErrCompacted = errors.New("changes no longer kept")
	// ErrMalformed: the service calls the request malformed.
	ErrMalformed = errors.New("called malformed")
)

// Call sends a request and reads its answer into out.
func Call(ctx context.Context, client *transport.Client, timeout time.Duration, method, target string, in, out any) error {
	var body []byte
	if in != nil {
		b, err := protocol.Encode(in)
		if err != nil {
			return err
		}
		body = b
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := client.Do(ctx, method, target, body)
	if err != nil {
		client.Forget() // kept connections to a silent service are no better
		return err
	}
	return DecodeResponse(response, out)
}

// DecodeResponse turns a response into an error or its body.
func DecodeResponse(m *transport.Message, out any) error {
	switch m.Status {
	case 200:
		if out == nil {
			return nil
		}
		return protocol.Decode(m.Body, out)
	case 404:
		return ErrNotFound
	case 409:
		if out != nil && protocol.Decode(m.Body, out) != nil {
			return fmt.Errorf("%w, and its body can't be read", ErrConflict)
		}
		return ErrConflict
	case 410:
		return ErrCompacted
	case 429, 503:
		return fmt.Errorf("status %d: %w", m.Status, ErrRefused)
	case 400:
		return fmt.Errorf("%w: %.100q", ErrMalformed, m.Body)
	}
	return fmt.Errorf("unexpected status %d", m.Status)
}
