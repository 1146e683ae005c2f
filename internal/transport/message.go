package transport

import (
	"net/http"
	"strconv"
)

// Limits of received messages, in bytes.
const (
	MaxHead         = 8 << 10
	MaxRequestBody  = 64 << 10
	maxResponseBody = 64 << 20
)

// Message is an HTTP request or response.
type Message struct {
	Method, Path, Query string // requests only
	Status              int    // responses only
	Close               bool   // whether the sender closes the connection after the message
	RetryAfterS         int    // Retry-After of a response, in seconds; 0 if absent
	Body                []byte
}

// statusText maps status codes to reason phrases. Some phrases of net/http are from an
// older HTTP specification.
var statusText = map[int]string{
	http.StatusOK:                          "OK",
	http.StatusCreated:                     "Created",
	http.StatusBadRequest:                  "Bad Request",
	http.StatusNotFound:                    "Not Found",
	http.StatusMethodNotAllowed:            "Method Not Allowed",
	http.StatusConflict:                    "Conflict",
	http.StatusGone:                        "Gone",
	http.StatusRequestEntityTooLarge:       "Content Too Large",
	http.StatusMisdirectedRequest:          "Misdirected Request",
	http.StatusUnprocessableEntity:         "Unprocessable Content",
	http.StatusTooManyRequests:             "Too Many Requests",
	http.StatusRequestHeaderFieldsTooLarge: "Request Header Fields Too Large",
	http.StatusInternalServerError:         "Internal Server Error",
	http.StatusNotImplemented:              "Not Implemented",
	http.StatusServiceUnavailable:          "Service Unavailable",
	http.StatusGatewayTimeout:              "Gateway Timeout",
}

// AppendResponse appends the response m, encoded as HTTP/1.1, to b and returns the extended
// slice.
func AppendResponse(b []byte, m *Message) []byte {
	text := statusText[m.Status]
	if text == "" {
		text = "Status"
	}
	b = append(b, version11+" "...)
	b = strconv.AppendInt(b, int64(m.Status), 10)
	b = append(b, ' ')
	b = append(b, text...)
	b = appendBodyFields(b, m.Body)
	if m.RetryAfterS > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendInt(b, int64(m.RetryAfterS), 10)
	}
	if m.Close {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, endOfHead...)
	return append(b, m.Body...)
}

// AppendRequest appends a request, encoded as HTTP/1.1, to b and returns the extended slice.
// The target is the path with the query. A nil body is left out, except for POST.
func AppendRequest(b []byte, method, host, target string, body []byte) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " "+version11+"\r\nHost: "...)
	b = append(b, host...)
	if body != nil || method == http.MethodPost {
		b = appendBodyFields(b, body)
	}
	b = append(b, endOfHead...)
	return append(b, body...)
}

// appendBodyFields appends the header fields that state the type (CBOR) and length of a body.
func appendBodyFields(b, body []byte) []byte {
	b = append(b, "\r\nContent-Type: application/cbor\r\nContent-Length: "...)
	return strconv.AppendInt(b, int64(len(body)), 10)
}
