package transport

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

const (
	// maxChunkLine is the maximum length of a chunk-size line, in bytes.
	maxChunkLine = 1024
	// chunkSizeBits limits the size of a chunk to 31 bits.
	chunkSizeBits = 31
)

var errMalformedChunk = &StatusError{http.StatusBadRequest, "malformed chunk"}

// readChunks decodes the chunked body at the start of buf. It returns the body and the
// number of bytes that it consumed, which is 0 if the body is incomplete. It returns an error
// if a chunk is malformed or the body is longer than maxBody bytes.
func readChunks(buf []byte, maxBody int) (body []byte, consumed int, err error) {
	rest := buf
	for {
		end := bytes.Index(rest, []byte(lineEnd))
		if end < 0 {
			if len(rest) > maxChunkLine {
				return nil, 0, errMalformedChunk
			}
			return nil, 0, nil
		}
		digits, _, _ := strings.Cut(string(rest[:end]), ";") // skips chunk extensions
		parsed, err := strconv.ParseUint(strings.TrimSpace(digits), 16, chunkSizeBits)
		if err != nil {
			return nil, 0, errMalformedChunk
		}
		size := int(parsed)
		if len(body)+size > maxBody {
			return nil, 0, errBodyTooLarge
		}
		rest = rest[end+len(lineEnd):]
		if size == 0 {
			trailer, err := skipTrailer(rest)
			if err != nil || trailer == 0 {
				return nil, 0, err
			}
			return body, len(buf) - len(rest) + trailer, nil
		}
		if len(rest) < size+len(lineEnd) {
			return nil, 0, nil
		}
		if string(rest[size:size+len(lineEnd)]) != lineEnd {
			return nil, 0, errMalformedChunk
		}
		body = append(body, rest[:size]...)
		rest = rest[size+len(lineEnd):]
	}
}

// skipTrailer returns the size of the trailer that follows the last chunk, including the
// empty line at its end. The size is 0 if the trailer is incomplete.
func skipTrailer(rest []byte) (size int, err error) {
	for start := 0; ; {
		end := bytes.Index(rest[start:], []byte(lineEnd))
		if end < 0 {
			if len(rest) > MaxHead {
				return 0, &StatusError{http.StatusRequestHeaderFieldsTooLarge, "trailer too large"}
			}
			return 0, nil
		}
		start += end + len(lineEnd)
		if end == 0 {
			return start, nil
		}
	}
}
