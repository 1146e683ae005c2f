package transport

import (
	"net/http"
	"strconv"
)

// Limits of messages that are read.
const (
	MaxHead         = 8 << 10
	MaxRequestBody  = 64 << 10
	maxResponseBody = 64 << 20
)

// Message is an HTTP request or response.
type Message struct {
	Method, Path, Query string // of a request
	Status              int    // of a response
	Close               bool   // whether the sender closes the connection after it
	RetryAfterS         int    // of a response; 0 if it is not given
	Body                []byte
}

// statusText has the reason phrases of responses. Those of net/http are older.
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

// AppendResponse appends a response to b.
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

// AppendRequest appends a request to b; target is the path and the query.
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

// appendBodyFields appends the header fields of a body.
func appendBodyFields(b, body []byte) []byte {
	b = append(b, "\r\nContent-Type: application/cbor\r\nContent-Length: "...)
	return strconv.AppendInt(b, int64(len(body)), 10)
}
