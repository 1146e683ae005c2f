package server

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"

	"damsonkeel/internal/protocol"
)

// maxBody is the maximum size of a request body, in bytes.
const maxBody = 1 << 20

// listen serves a handler on a free port of the loopback interface and returns the server and
// its address. The server accepts connections from the listener that wrap returns.
func listen(h http.Handler, wrap func(net.Listener) net.Listener) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("fake server: listen: %w", err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(wrap(listener)) }() // returns when the server is closed
	return s, listener.Addr().String(), nil
}

// unwrappedListener returns a listener unchanged.
func unwrappedListener(l net.Listener) net.Listener { return l }

// writeResponse writes a response with the encoded value v as its body, or status 500 without
// a body if v can't be encoded.
func writeResponse(w http.ResponseWriter, status int, v any) {
	b, err := protocol.Encode(v)
	if err != nil {
		status, b = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b) // the client may have closed the connection
}

// decodeRequest decodes the body of a request as a T. If the body can't be read or decoded, it
// responds with status 400 and reports false.
func decodeRequest[T any](w http.ResponseWriter, r *http.Request) (v T, ok bool) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err == nil {
		err = protocol.Decode(b, &v)
	}
	if err != nil {
		writeResponse(w, http.StatusBadRequest, protocol.ErrorBody{Error: err.Error()})
	}
	return v, err == nil
}

// lockedHandler returns a handler that decodes the request body as a T, calls do while it
// holds mu, and responds with the status and body that do returns.
func lockedHandler[T any](mu *sync.Mutex, do func(T) (status int, body any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, ok := decodeRequest[T](w, r)
		if !ok {
			return
		}
		mu.Lock()
		status, body := do(v)
		mu.Unlock()
		writeResponse(w, status, body)
	}
}
