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

// StatusError reports a message that is malformed, too large or of an unsupported form. Status
// is the status code of the response to its sender.
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

// Parser parses a stream of bytes into messages. The result does not depend on how the
// stream is split across calls of Feed.
type Parser struct {
	isResponse bool
	maxBody    int
	buf        []byte
	head       *Message // message whose head is parsed and whose body is incomplete; nil between messages
	framing    framing  // framing of the body of head
}

// NewRequestParser returns a parser of requests, with bodies of up to MaxRequestBody bytes.
func NewRequestParser() *Parser { return &Parser{maxBody: MaxRequestBody} }

// NewResponseParser returns a parser of responses, with bodies of up to maxResponseBody bytes.
func NewResponseParser() *Parser { return &Parser{isResponse: true, maxBody: maxResponseBody} }

// Feed appends the next bytes of the stream to the buffer.
func (p *Parser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Buffered returns the number of bytes in the buffer, which are not parsed yet.
func (p *Parser) Buffered() int { return len(p.buf) }

// Partial reports whether the parser holds any part of a message that Next has not returned.
func (p *Parser) Partial() bool { return p.head != nil || len(p.buf) > 0 }

// Next removes and returns the next complete message, or nil if there is none yet. After an
// error the rest of the stream can't be parsed.
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

// EOF marks the end of the stream. If the last message is a response whose body extends
// to the end of the stream, EOF returns it; otherwise EOF returns nil.
func (p *Parser) EOF() *Message {
	if p.head == nil || !p.framing.untilEOF {
		return nil
	}
	m := p.head
	m.Body, m.Close = p.buf, true
	p.head, p.buf = nil, nil
	return m
}

// readHead parses the next head and removes it from the buffer, if it is complete, and reports
// whether it is. It returns an error if the head is malformed or longer than MaxHead bytes.
func (p *Parser) readHead() (complete bool, err error) {
	if !p.isResponse {
		p.skipEmptyLines()
	}
	end := bytes.Index(p.buf, []byte(endOfHead))
	if end > MaxHead || end < 0 && len(p.buf) > MaxHead {
		return false, errHeadTooLarge
	}
	if end < 0 {
		return false, nil
	}
	if p.head, p.framing, err = parseHead(string(p.buf[:end]), p.isResponse, p.maxBody); err != nil {
		return false, err
	}
	p.buf = p.buf[end+len(endOfHead):]
	return true, nil
}

// skipEmptyLines removes the empty lines that HTTP allows before a request.
func (p *Parser) skipEmptyLines() {
	for len(p.buf) > 0 && (p.buf[0] == '\r' || p.buf[0] == '\n') {
		p.buf = p.buf[1:]
	}
}

// readBody decodes the body of the message in head and removes it from the buffer, if it is
// complete, and reports whether it is. A body that extends to the end of the stream is never
// complete: EOF returns it.
func (p *Parser) readBody() (body []byte, complete bool, err error) {
	switch {
	case p.framing.chunked:
		body, consumed, err := readChunks(p.buf, p.maxBody)
		if err != nil || consumed == 0 {
			return nil, false, err
		}
		p.buf = p.buf[consumed:]
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
