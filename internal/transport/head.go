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
	// informational is the first digit of the statuses of interim responses.
	informational = 1

	// lengthBits bounds Content-Length so that it fits into an int.
	lengthBits = 62
	// unknownLength is the length of a body without a Content-Length.
	unknownLength = -1
)

// framing is how the end of a body is found: after length bytes, after its last chunk or
// at the end of the stream.
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

// parseHead parses a head without the empty line at its end.
func parseHead(head string, response bool, maxBody int) (*Message, framing, error) {
	h := headParser{message: &Message{}, framing: framing{length: unknownLength}, maxBody: maxBody}
	line, fields, _ := strings.Cut(head, lineEnd)
	if err := h.startLine(line, response); err != nil {
		return nil, framing{}, err
	}
	for fields != "" {
		line, fields, _ = strings.Cut(fields, lineEnd)
		if err := h.field(line); err != nil {
			return nil, framing{}, err
		}
	}
	if err := h.finish(response); err != nil {
		return nil, framing{}, err
	}
	return h.message, h.framing, nil
}

// startLine parses the first line of a request or a response.
func (h *headParser) startLine(line string, response bool) error {
	if response {
		if err := h.statusLine(line); err != nil {
			return err
		}
	} else if err := h.requestLine(line); err != nil {
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

func (h *headParser) requestLine(line string) error {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], "/") {
		return &StatusError{http.StatusBadRequest, "malformed request line"}
	}
	h.message.Method, h.version = parts[0], parts[2]
	h.message.Path, h.message.Query, _ = strings.Cut(parts[1], "?")
	return nil
}

func (h *headParser) statusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || status < minStatus || status > maxStatus {
		return &StatusError{http.StatusBadGateway, "malformed status line"}
	}
	h.version, h.message.Status = version, status
	return nil
}

// field parses one header field; unknown ones are ignored.
func (h *headParser) field(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || strings.ContainsAny(name, " \t") {
		return &StatusError{http.StatusBadRequest, "malformed header line"}
	}
	value = strings.Trim(value, " \t")
	switch {
	case strings.EqualFold(name, "Content-Length"):
		return h.contentLength(value)
	case strings.EqualFold(name, "Transfer-Encoding"):
		return h.transferEncoding(value)
	case strings.EqualFold(name, "Connection"):
		h.connection(value)
	case strings.EqualFold(name, "Retry-After"):
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			h.message.RetryAfterS = seconds
		}
	}
	return nil
}

func (h *headParser) contentLength(value string) error {
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

func (h *headParser) transferEncoding(value string) error {
	if !strings.EqualFold(value, "chunked") || h.framing.chunked {
		return &StatusError{http.StatusNotImplemented, "unknown transfer encoding"}
	}
	h.framing.chunked = true
	return nil
}

func (h *headParser) connection(value string) {
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

// finish determines the framing of the body when all fields are parsed.
func (h *headParser) finish(response bool) error {
	known := h.framing.length != unknownLength
	switch {
	case h.framing.chunked && known:
		return &StatusError{http.StatusBadRequest, "both Content-Length and Transfer-Encoding"}
	case !h.framing.chunked && !known:
		h.framing.length = 0
		h.framing.untilEOF = response && mayHaveBody(h.message.Status)
	}
	return nil
}

// mayHaveBody reports whether a response with the status may have a body.
func mayHaveBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified && !isInformational(status)
}

// isInformational reports whether the status is that of an interim response, which
// another response to the same request follows.
func isInformational(status int) bool { return status/100 == informational }
