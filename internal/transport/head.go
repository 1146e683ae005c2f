package transport

import (
	"net/http"
	"strconv"
	"strings"
)

const (
	version11 = "HTTP/1.1"
	version10 = "HTTP/1.0"

	minStatus = 100
	maxStatus = 599
	// informationalClass is the first digit of the status codes of interim responses.
	informationalClass = 1

	// lengthBits is the maximum size of a Content-Length in bits, so that it fits into an int.
	lengthBits = 62
	// unknownLength is the framing length of a message without a Content-Length field.
	unknownLength = -1
)

// framing describes where a body ends: after length bytes, after its last chunk or at
// the end of the stream.
type framing struct {
	length   int
	chunked  bool
	untilEOF bool
}

// headParser parses the head of one message.
type headParser struct {
	message *Message
	version string
	framing framing
	maxBody int
}

// parseHead parses the head of a message, without the empty line at its end. It returns the
// message without its body and the framing of the body, or a StatusError if the head is
// malformed or announces a body of more than maxBody bytes.
func parseHead(head string, isResponse bool, maxBody int) (*Message, framing, error) {
	h := headParser{message: &Message{}, framing: framing{length: unknownLength}, maxBody: maxBody}
	line, fields, _ := strings.Cut(head, lineEnd)
	if err := h.parseStartLine(line, isResponse); err != nil {
		return nil, framing{}, err
	}
	for fields != "" {
		line, fields, _ = strings.Cut(fields, lineEnd)
		if err := h.parseField(line); err != nil {
			return nil, framing{}, err
		}
	}
	if err := h.determineFraming(isResponse); err != nil {
		return nil, framing{}, err
	}
	return h.message, h.framing, nil
}

// parseStartLine parses the first line of a request or a response. It refuses other versions
// than HTTP/1.1 and HTTP/1.0; with the latter, the connection is closed after the message.
func (h *headParser) parseStartLine(line string, isResponse bool) error {
	if isResponse {
		if err := h.parseStatusLine(line); err != nil {
			return err
		}
	} else if err := h.parseRequestLine(line); err != nil {
		return err
	}
	switch h.version {
	case version11:
	case version10:
		h.message.Close = true
	default:
		return &StatusError{http.StatusBadRequest, "unknown protocol version"}
	}
	return nil
}

// parseRequestLine parses the method, the target and the version. It refuses a target that is
// not a path with an optional query.
func (h *headParser) parseRequestLine(line string) error {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], "/") {
		return &StatusError{http.StatusBadRequest, "malformed request line"}
	}
	h.message.Method, h.version = parts[0], parts[2]
	h.message.Path, h.message.Query, _ = strings.Cut(parts[1], "?")
	return nil
}

// parseStatusLine parses the version and the status code. It ignores the reason phrase.
func (h *headParser) parseStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || status < minStatus || status > maxStatus {
		return &StatusError{http.StatusBadGateway, "malformed status line"}
	}
	h.version, h.message.Status = version, status
	return nil
}

// parseField parses one header field. It ignores all fields but Content-Length,
// Transfer-Encoding, Connection and Retry-After.
func (h *headParser) parseField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || strings.ContainsAny(name, " \t") {
		return &StatusError{http.StatusBadRequest, "malformed header line"}
	}
	value = strings.Trim(value, " \t")
	switch {
	case strings.EqualFold(name, "Content-Length"):
		return h.parseContentLength(value)
	case strings.EqualFold(name, "Transfer-Encoding"):
		return h.parseTransferEncoding(value)
	case strings.EqualFold(name, "Connection"):
		h.parseConnection(value)
	case strings.EqualFold(name, "Retry-After"):
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			h.message.RetryAfterS = seconds
		}
	}
	return nil
}

func (h *headParser) parseContentLength(value string) error {
	length, err := strconv.ParseUint(value, 10, lengthBits)
	known := h.framing.length != unknownLength
	if err != nil || known && h.framing.length != int(length) {
		return &StatusError{http.StatusBadRequest, "malformed Content-Length"}
	}
	if length > uint64(h.maxBody) {
		return errBodyTooLarge
	}
	h.framing.length = int(length)
	return nil
}

func (h *headParser) parseTransferEncoding(value string) error {
	if !strings.EqualFold(value, "chunked") || h.framing.chunked {
		return &StatusError{http.StatusNotImplemented, "unknown transfer encoding"}
	}
	h.framing.chunked = true
	return nil
}

func (h *headParser) parseConnection(value string) {
	for option := range strings.SplitSeq(value, ",") {
		option = strings.TrimSpace(option)
		switch {
		case strings.EqualFold(option, "close"):
			h.message.Close = true
		case strings.EqualFold(option, "keep-alive") && h.version == version10:
			h.message.Close = false
		}
	}
}

// determineFraming determines where the body ends after all header fields are parsed. Without
// a length and chunks, a request has no body, and the body of a response extends to the end of
// the stream if its status allows one.
func (h *headParser) determineFraming(isResponse bool) error {
	known := h.framing.length != unknownLength
	switch {
	case h.framing.chunked && known:
		return &StatusError{http.StatusBadRequest, "both Content-Length and Transfer-Encoding"}
	case !h.framing.chunked && !known:
		h.framing.length = 0
		h.framing.untilEOF = isResponse && mayHaveBody(h.message.Status)
	}
	return nil
}

// mayHaveBody reports whether a response with the given status may have a body.
func mayHaveBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified && !isInformational(status)
}

// isInformational reports whether a response with the given status is an interim one: the
// final response to the same request follows it.
func isInformational(status int) bool { return status/100 == informationalClass }
