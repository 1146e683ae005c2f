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

// maxBody is the largest request body that is read, in bytes.
const maxBody = 1 << 20

// listen serves a handler on loopback, on a port of the system's choice.
func listen(h http.Handler, wrap func(net.Listener) net.Listener) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("fake server: listen: %w", err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(wrap(listener)) }() // until the server is closed
	return s, listener.Addr().String(), nil
}

// plain leaves a listener as it is.
func plain(l net.Listener) net.Listener { return l }

// answer writes a response.
func answer(w http.ResponseWriter, status int, v any) {
	b, err := protocol.Encode(v)
	if err != nil {
		status, b = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b) // the client may have closed the connection
}

// read decodes the body of a request, or answers that it is malformed.
func read[T any](w http.ResponseWriter, r *http.Request) (v T, ok bool) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err == nil {
		err = protocol.Decode(b, &v)
	}
	if err != nil {
		answer(w, http.StatusBadRequest, protocol.ErrorBody{Error: err.Error()})
	}
	return v, err == nil
}

// locked serves requests with a body of a type while it holds a lock.
func locked[T any](mu *sync.Mutex, do func(T) (status int, body any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, ok := read[T](w, r)
		if !ok {
			return
		}
		mu.Lock()
		status, body := do(v)
		mu.Unlock()
		answer(w, status, body)
	}
}
