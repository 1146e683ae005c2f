package transport

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// TestParserIsIndependentOfSplits checks that the parsed messages don't depend on how the
// stream is split.
func TestParserIsIndependentOfSplits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type request struct {
			target string
			body   []byte
		}
		var stream []byte
		var want []request
		for range rapid.IntRange(1, 4).Draw(t, "messages") {
			r := request{"/work/" + rapid.StringMatching(`[a-z0-9]{1,20}`).Draw(t, "path"), rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")}
			want = append(want, r)
			stream = AppendRequest(stream, "POST", "host", r.target, r.body)
		}
		p := NewRequestParser()
		var got []*Message
		for len(stream) > 0 {
			n := rapid.IntRange(1, len(stream)).Draw(t, "split")
			p.Feed(stream[:n])
			stream = stream[n:]
			for {
				m, err := p.Next()
				if err != nil {
					t.Fatal(err)
				}
				if m == nil {
					break
				}
				got = append(got, m)
			}
		}
		if len(got) != len(want) || p.Partial() {
			t.Fatalf("parsed %d of %d messages, partial %v", len(got), len(want), p.Partial())
		}
		for i, m := range got {
			if m.Path != want[i].target || !bytes.Equal(m.Body, want[i].body) || m.Method != "POST" {
				t.Fatalf("message %d: %+v, want %+v", i, m, want[i])
			}
		}
	})
}

// TestParserHandlesArbitraryInput checks that arbitrary input does not crash the parser.
func TestParserHandlesArbitraryInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewRequestParser()
		if rapid.Bool().Draw(t, "response") {
			p = NewResponseParser()
		}
		pieces := rapid.SliceOfN(rapid.OneOf(
			rapid.SliceOfN(rapid.Byte(), 0, 50),
			rapid.SampledFrom([][]byte{
				[]byte("POST /work HTTP/1.1\r\n"), []byte("HTTP/1.1 200 OK\r\n"), []byte("Content-Length: 5\r\n"),
				[]byte("Transfer-Encoding: chunked\r\n"), []byte("\r\n"), []byte("5\r\nhello\r\n"), []byte("0\r\n\r\n"),
				[]byte("Content-Length: -1\r\n"), []byte("Content-Length: 99999999999999999999\r\n"),
			}),
		), 0, 30).Draw(t, "pieces")
		for _, b := range pieces {
			p.Feed(b)
			for {
				m, err := p.Next()
				if err != nil {
					return
				}
				if m == nil {
					break
				}
			}
		}
	})
}

// TestParserRejectsMalformedMessages checks the status code for each kind of malformed
// message.
func TestParserRejectsMalformedMessages(t *testing.T) {
	cases := []struct {
		name, input string
		status      int
	}{
		{"no version", "GET /up\r\n\r\n", 400},
		{"unknown version", "GET /up HTTP/3.0\r\n\r\n", 400},
		{"relative path", "GET up HTTP/1.1\r\n\r\n", 400},
		{"header without colon", "GET /up HTTP/1.1\r\nnonsense\r\n\r\n", 400},
		{"space in header name", "GET /up HTTP/1.1\r\nContent-Length : 5\r\n\r\n", 400},
		{"negative length", "POST /work HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
		{"two lengths", "POST /work HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400},
		{"length and chunks", "POST /work HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		{"body too large", "POST /work HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413},
		{"chunk too large", "POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n", 413},
		{"head too large", "GET /up HTTP/1.1\r\nX: " + string(bytes.Repeat([]byte("x"), MaxHead)) + "\r\n\r\n", 431},
		{"unknown encoding", "POST /work HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501},
	}
	for _, tc := range cases {
		p := NewRequestParser()
		p.Feed([]byte(tc.input))
		_, err := p.Next()
		var statusError *StatusError
		if !errors.As(err, &statusError) || statusError.Status != tc.status {
			t.Errorf("%s: %v, want status %d", tc.name, err, tc.status)
		}
	}
}

// TestParserDecodesChunks checks that a chunked response that arrives byte by byte is
// decoded, and that its chunk extensions and its trailer are skipped.
func TestParserDecodesChunks(t *testing.T) {
	p := NewResponseParser()
	for _, b := range []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nRetry-After: 3\r\n\r\n5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nTrailer: 1\r\n\r\n") {
		p.Feed([]byte{b})
		m, err := p.Next()
		if err != nil {
			t.Fatal(err)
		}
		if m != nil {
			if string(m.Body) != "hello world" || m.RetryAfterS != 3 || p.Partial() {
				t.Fatalf("%+v", m)
			}
			return
		}
	}
	t.Fatal("the complete response was not parsed")
}
