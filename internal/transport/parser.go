package transport

import (
	"bytes"
	"fmt"
	"net/http"
)

const (
	lineEnd   = "\r\n"
	endOfHead = "\r\n\r\n"
)

// StatusError is a malformed message, and the status with which its sender is answered.
type StatusError struct {
	Status  int
	Problem string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Problem) }

var (
	errHeadTooLarge = &StatusError{http.StatusRequestHeaderFieldsTooLarge, "head too large"}
	errBodyTooLarge = &StatusError{http.StatusRequestEntityTooLarge, "body too large"}
)

// Parser splits a stream of bytes into messages. The result does not depend on the
// pieces in which the stream is fed.
type Parser struct {
	response bool
	maxBody  int
	buf      []byte
	head     *Message // parsed, and its body is incomplete; nil between messages
	framing  framing  // of the body of head
}

// NewRequestParser makes a parser of requests.
func NewRequestParser() *Parser { return &Parser{maxBody: MaxRequestBody} }

// NewResponseParser makes a parser of responses.
func NewResponseParser() *Parser { return &Parser{response: true, maxBody: maxResponseBody} }

// Feed adds the next bytes of the stream.
func (p *Parser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Buffered is the number of bytes that are not part of a message yet.
func (p *Parser) Buffered() int { return len(p.buf) }

// Partial reports whether a message has begun and is incomplete.
func (p *Parser) Partial() bool { return p.head != nil || len(p.buf) > 0 }

// Next returns the next complete message, or nil if there is none yet. After an error
// the rest of the stream can't be parsed.
func (p *Parser) Next() (*Message, error) {
	if p.head == nil {
		if complete, err := p.readHead(); !complete || err != nil {
			return nil, err
		}
	}
	body, complete, err := p.readBody()
	if !complete || err != nil {
		return nil, err
	}
	if len(p.buf) == 0 {
		p.buf = nil
	}
	m := p.head
	m.Body = body
	p.head = nil
	return m, nil
}

// EOF ends the stream. It returns a response whose body extends to the end of the
// stream, if the last message is one.
func (p *Parser) EOF() *Message {
	if p.head == nil || !p.framing.untilEOF {
		return nil
	}
	m := p.head
	m.Body, m.Close = p.buf, true
	p.head, p.buf = nil, nil
	return m
}

// readHead parses a head out of the buffer, if it is complete.
func (p *Parser) readHead() (complete bool, err error) {
	if !p.response {
		p.skipEmptyLines()
	}
	end := bytes.Index(p.buf, []byte(endOfHead))
	if end > MaxHead || end < 0 && len(p.buf) > MaxHead {
		return false, errHeadTooLarge
	}
	if end < 0 {
		return false, nil
	}
	if p.head, p.framing, err = parseHead(string(p.buf[:end]), p.response, p.maxBody); err != nil {
		return false, err
	}
	p.buf = p.buf[end+len(endOfHead):]
	return true, nil
}

// skipEmptyLines skips the empty lines that are allowed before a request.
func (p *Parser) skipEmptyLines() {
	for len(p.buf) > 0 && (p.buf[0] == '\r' || p.buf[0] == '\n') {
		p.buf = p.buf[1:]
	}
}

// readBody takes the body of head out of the buffer, if it is complete.
func (p *Parser) readBody() (body []byte, complete bool, err error) {
	switch {
	case p.framing.chunked:
		body, used, err := readChunks(p.buf, p.maxBody)
		if err != nil || used == 0 {
			return nil, false, err
		}
		p.buf = p.buf[used:]
		return body, true, nil
	case p.framing.untilEOF:
		if len(p.buf) > p.maxBody {
			return nil, false, errBodyTooLarge
		}
		return nil, false, nil
	case len(p.buf) < p.framing.length:
		return nil, false, nil
	}
	body = append([]byte(nil), p.buf[:p.framing.length]...)
	p.buf = p.buf[p.framing.length:]
	return body, true, nil
}
