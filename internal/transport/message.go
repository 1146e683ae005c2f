// Package transport carries messages: an HTTP/1.1 server built on evio, an
// HTTP/1.1 client, the parser both share, and net/rpc between controllers.
package transport

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Limits of what is read from the other side.
const (
	MaxHead         = 8 << 10
	MaxRequestBody  = 64 << 10
	maxResponseBody = 64 << 20
)

// StatusError is a malformed message and the status that tells its sender so.
type StatusError struct {
	Status int
	What   string
}

func (e *StatusError) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.What) }

func bad(status int, format string, args ...any) *StatusError {
	return &StatusError{Status: status, What: fmt.Sprintf(format, args...)}
}

// Message is an HTTP request or response.
type Message struct {
	Method, Path, Query string // of a request
	Status              int    // of a response
	Close               bool   // the sender closes the connection after it
	RetryAfterS         int    // of a response; 0: not given
	Body                []byte
}

// Parser cuts a stream of bytes into messages. It gives the same messages
// however the stream was split.
type Parser struct {
	response bool
	maxBody  int
	buf      []byte
	head     *Message // parsed, waits for its body
	length   int
	chunked  bool
	untilEOF bool
}

// NewRequestParser reads requests.
func NewRequestParser() *Parser { return &Parser{maxBody: MaxRequestBody} }

// NewResponseParser reads responses.
func NewResponseParser() *Parser { return &Parser{response: true, maxBody: maxResponseBody} }

// Feed adds bytes as they came.
func (p *Parser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Buffered is the number of bytes not yet part of a message.
func (p *Parser) Buffered() int { return len(p.buf) }

// Partial reports whether a message has begun and is not complete.
func (p *Parser) Partial() bool { return p.head != nil || len(p.buf) > 0 }

// Next returns the next complete message, or nil if there is none yet. After
// an error the stream can't be read on.
func (p *Parser) Next() (*Message, error) {
	if p.head == nil {
		if !p.response {
			for len(p.buf) > 0 && (p.buf[0] == '\r' || p.buf[0] == '\n') {
				p.buf = p.buf[1:] // empty lines before a request are allowed
			}
		}
		end := bytes.Index(p.buf, []byte("\r\n\r\n"))
		if end < 0 {
			if len(p.buf) > MaxHead {
				return nil, bad(431, "head too large")
			}
			return nil, nil
		}
		if end > MaxHead {
			return nil, bad(431, "head too large")
		}
		if err := p.parseHead(string(p.buf[:end])); err != nil {
			return nil, err
		}
		p.buf = p.buf[end+4:]
	}
	var body []byte
	switch {
	case p.chunked:
		b, used, err := p.chunks()
		if err != nil || used == 0 {
			return nil, err
		}
		body = b
		p.buf = p.buf[used:]
	case p.untilEOF:
		if len(p.buf) > p.maxBody {
			return nil, bad(413, "body too large")
		}
		return nil, nil
	default:
		if len(p.buf) < p.length {
			return nil, nil
		}
		body = append([]byte(nil), p.buf[:p.length]...)
		p.buf = p.buf[p.length:]
	}
	if len(p.buf) == 0 {
		p.buf = nil
	}
	m := p.head
	m.Body = body
	p.head = nil
	return m, nil
}

// EOF tells the parser that the stream has ended; it returns a response whose
// body reaches to the end, if that is what was being read.
func (p *Parser) EOF() *Message {
	if p.head == nil || !p.untilEOF {
		return nil
	}
	m := p.head
	m.Body, m.Close = p.buf, true
	p.head, p.buf = nil, nil
	return m
}

func (p *Parser) parseHead(head string) error {
	line, rest, _ := strings.Cut(head, "\r\n")
	m := &Message{}
	version := ""
	if p.response {
		v, after, _ := strings.Cut(line, " ")
		code, _, _ := strings.Cut(after, " ")
		n, err := strconv.Atoi(code)
		if err != nil || n < 100 || n > 599 {
			return bad(502, "malformed status line")
		}
		version, m.Status = v, n
	} else {
		parts := strings.Split(line, " ")
		if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], "/") {
			return bad(400, "malformed request line")
		}
		m.Method, version = parts[0], parts[2]
		m.Path, m.Query, _ = strings.Cut(parts[1], "?")
	}
	switch version {
	case "HTTP/1.1":
	case "HTTP/1.0":
		m.Close = true
	default:
		return bad(400, "unknown protocol version")
	}
	p.length, p.chunked, p.untilEOF = -1, false, false
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return bad(400, "malformed header line")
		}
		value = strings.Trim(value, " \t")
		switch {
		case strings.EqualFold(name, "Content-Length"):
			n, err := strconv.ParseUint(value, 10, 62)
			if err != nil || value[0] == '+' || (p.length >= 0 && p.length != int(n)) {
				return bad(400, "malformed Content-Length")
			}
			if n > uint64(p.maxBody) {
				return bad(413, "body too large")
			}
			p.length = int(n)
		case strings.EqualFold(name, "Transfer-Encoding"):
			if !strings.EqualFold(value, "chunked") || p.chunked {
				return bad(501, "unknown transfer encoding")
			}
			p.chunked = true
		case strings.EqualFold(name, "Connection"):
			for token := range strings.SplitSeq(value, ",") {
				switch token = strings.TrimSpace(token); {
				case strings.EqualFold(token, "close"):
					m.Close = true
				case strings.EqualFold(token, "keep-alive") && version == "HTTP/1.0":
					m.Close = false
				}
			}
		case strings.EqualFold(name, "Retry-After"):
			if n, err := strconv.Atoi(value); err == nil && n > 0 {
				m.RetryAfterS = n
			}
		}
	}
	if p.chunked && p.length >= 0 {
		return bad(400, "both Content-Length and Transfer-Encoding")
	}
	if p.length < 0 && !p.chunked {
		p.length = 0
		noBody := m.Status == 204 || m.Status == 304 || m.Status/100 == 1
		p.untilEOF = p.response && !noBody
	}
	p.head = m
	return nil
}

// chunks reads a whole chunked body, or nothing (used 0) if it is incomplete.
func (p *Parser) chunks() (body []byte, used int, err error) {
	rest := p.buf
	for {
		nl := bytes.Index(rest, []byte("\r\n"))
		if nl < 0 {
			if len(rest) > 1024 {
				return nil, 0, bad(400, "malformed chunk")
			}
			return nil, 0, nil
		}
		size, _, _ := strings.Cut(string(rest[:nl]), ";")
		n, perr := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if perr != nil {
			return nil, 0, bad(400, "malformed chunk")
		}
		if len(body)+int(n) > p.maxBody {
			return nil, 0, bad(413, "body too large")
		}
		rest = rest[nl+2:]
		if n == 0 {
			return p.trailer(body, rest)
		}
		if len(rest) < int(n)+2 {
			return nil, 0, nil
		}
		if rest[n] != '\r' || rest[n+1] != '\n' {
			return nil, 0, bad(400, "malformed chunk")
		}
		body = append(body, rest[:n]...)
		rest = rest[n+2:]
	}
}

// trailer skips the lines after the last chunk.
func (p *Parser) trailer(body, rest []byte) ([]byte, int, error) {
	for start := 0; ; {
		nl := bytes.Index(rest[start:], []byte("\r\n"))
		if nl < 0 {
			if len(rest) > MaxHead {
				return nil, 0, bad(431, "trailer too large")
			}
			return nil, 0, nil
		}
		if nl == 0 {
			return body, len(p.buf) - len(rest) + start + 2, nil
		}
		start += nl + 2
	}
}

var statusText = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 409: "Conflict",
	410: "Gone", 413: "Content Too Large", 421: "Misdirected Request", 422: "Unprocessable Content",
	429: "Too Many Requests", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
	501: "Not Implemented", 503: "Service Unavailable", 504: "Gateway Timeout",
}

// AppendResponse writes a response.
func AppendResponse(b []byte, m *Message) []byte {
	text := statusText[m.Status]
	if text == "" {
		text = "Status"
	}
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(m.Status), 10)
	b = append(b, ' ')
	b = append(b, text...)
	b = append(b, "\r\nContent-Type: application/cbor\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(m.Body)), 10)
	if m.RetryAfterS > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendInt(b, int64(m.RetryAfterS), 10)
	}
	if m.Close {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, m.Body...)
}

// AppendRequest writes a request; target is path and query.
func AppendRequest(b []byte, method, host, target string, body []byte) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	if body != nil || method == "POST" {
		b = append(b, "\r\nContent-Type: application/cbor\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}
