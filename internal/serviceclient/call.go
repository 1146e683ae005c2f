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

// Errors that callers distinguish. After any other error the outcome is unknown: the
// service may have executed the request, or may still execute it.
var (
	// ErrRefused reports that the request was certainly not executed: the service is
	// unavailable or limits the rate, or the caller's own rate limit is exhausted.
	ErrRefused = errors.New("request not executed")
	// ErrConflict reports that a condition of the transaction does not hold, so that none of
	// its changes was made.
	ErrConflict = errors.New("transaction condition does not hold")
	// ErrNotFound reports that the key or lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrCompacted reports that the store has compacted the start revision of a watch, so that
	// changes since then may be missing and the keys have to be read anew.
	ErrCompacted = errors.New("revision is compacted")
	// ErrMalformed reports that the service rejected the request as malformed.
	ErrMalformed = errors.New("request rejected as malformed")

	errUnexpectedStatus = errors.New("unexpected status")
)

// Call sends a request and waits for its response for at most timeout. It encodes in as the
// request body unless in is nil, and decodes the response body into out unless out is nil. It
// returns an error if in can't be encoded or there is no response, or the error of
// DecodeResponse. After a request without a response it closes the client's idle connections.
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
		client.CloseIdleConnections() // the other connections to an unreachable service are broken too
		return fmt.Errorf("call the service: %w", err)
	}
	return DecodeResponse(response, out)
}

// DecodeResponse decodes the body of a response with the status 200 into out, unless out is
// nil, and converts any other status into an error: one of those above if it has one for the
// status. With ErrConflict it decodes the body into out as well.
func DecodeResponse(m *transport.Message, out any) error {
	switch m.Status {
	case http.StatusOK:
		return decodeBody(m, out)
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		if err := decodeBody(m, out); err != nil {
			return fmt.Errorf("%w, and the response body can't be decoded", ErrConflict)
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

// decodeBody decodes the body of a response into out unless out is nil.
func decodeBody(m *transport.Message, out any) error {
	if out == nil {
		return nil
	}
	if err := protocol.Decode(m.Body, out); err != nil {
		return fmt.Errorf("decode the response body: %w", err)
	}
	return nil
}
