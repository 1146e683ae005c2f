package operatorapi

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

// TestKeyErrorTexts checks the exact texts of errors about keys: operators see them on the
// command line, so they must not change.
func TestKeyErrorTexts(t *testing.T) {
	secret := strings.Repeat("0a", 32)
	for _, tc := range []struct{ name, text, want string }{
		{"none", "# nothing\n\n", "operators' keys: none"},
		{"a name alone", "# keys\nops\n", "operators' keys: line 2: want a name and a secret"},
		{"three words", "ops " + secret + " more", "operators' keys: line 1: want a name and a secret"},
		{"short secret", "ops 0a0a", "operators' keys: line 1: the secret is not 64 hexadecimal digits or more"},
		{"no digits", "ops " + strings.Repeat("xy", 32), "operators' keys: line 1: the secret is not 64 hexadecimal digits or more"},
		{"long name", strings.Repeat("o", 61) + " " + secret, "line 1: operator's key: \"ooooooooooooooooooooooooooooooooooooooooooooooooooooooooooooo\" is no name of 1 to 60 characters without spaces"},
	} {
		_, err := ParseKeys(tc.text)
		if err == nil || err.Error() != tc.want {
			t.Errorf("%s: %v, want %s", tc.name, err, tc.want)
		}
	}
	for _, tc := range []struct{ name, text, want string }{
		{"no name", "", "operator's key: \"\" is no name of 1 to 60 characters without spaces"},
		{"two words", "two words", "operator's key: \"two words\" is no name of 1 to 60 characters without spaces"},
		{"comment", "a#b", "operator's key: \"a#b\" is no name of 1 to 60 characters without spaces"},
	} {
		_, err := NewKey(tc.text)
		if err == nil || err.Error() != tc.want {
			t.Errorf("%s: %v, want %s", tc.name, err, tc.want)
		}
	}
	path := filepath.Join(t.TempDir(), "keys")
	if _, err := ReadKeys(path); !errors.Is(err, fs.ErrNotExist) || err.Error() != "operators' keys: stat "+path+": no such file or directory" {
		t.Errorf("no file: %v", err)
	}
	if err := os.WriteFile(path, []byte("ops "+secret), 0o640); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadKeys(path); err == nil || err.Error() != "operators' keys: "+path+" may be read by others (mode -rw-r-----): chmod 600" {
		t.Errorf("readable by others: %v", err)
	}
}

// TestClientErrorTexts checks the exact texts of the client's errors when no controller
// settles a request.
func TestClientErrorTexts(t *testing.T) {
	key, err := NewKey("ops")
	if err != nil {
		t.Fatal(err)
	}
	body := func(v any) []byte {
		b, err := protocol.Encode(v)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	for _, tc := range []struct {
		name     string
		response *transport.Message
		want     string
	}{
		{"later", &transport.Message{Status: 503, Body: body(Reply{Code: RetryLater, Reason: "may not act now"})}, "may not act now"},
		{"no keys", &transport.Message{Status: 404, Body: body(protocol.ErrorBody{Error: "no keys"})}, "takes no operators' requests: no keys"},
		{"not found", &transport.Message{Status: 404}, "status 404"},
		{"no code", &transport.Message{Status: 200, Body: body(Reply{})}, "status 200"},
		{"no CBOR", &transport.Message{Status: 500, Body: []byte("\xff")}, "status 500"},
	} {
		addr := serveResponse(t, tc.response)
		client := NewClient(key, []string{addr})
		_, err := client.sendTo(context.Background(), client.controllers[0], Request{Op: OpList})
		if err == nil || err.Error() != tc.want {
			t.Errorf("%s: %v, want %s", tc.name, err, tc.want)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), retryInterval-50*time.Millisecond) // one attempt
	defer cancel()
	want := "no controller settled it: nothing is known of a change; the same request can be repeated: " + "POST 127.0.0.1:1/operator/v1: dial tcp 127.0.0.1:1: connect: connection refused"
	if _, err := NewClient(key, []string{"127.0.0.1:1"}).Do(ctx, Request{Op: OpList}); err == nil || err.Error() != want {
		t.Errorf("no controller: %v, want %s", err, want)
	}
}

// serveResponse starts a server that answers every request with the same response, and
// returns its address.
func serveResponse(t *testing.T, response *transport.Message) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	server := transport.NewServer(func(_ *transport.Message, reply transport.Reply) {
		copied := *response
		reply(&copied)
	}, 10, slog.New(slog.DiscardHandler))
	ready := make(chan struct{})
	go server.Serve(addr, func() { close(ready) })
	<-ready
	return addr
}

// TestConfigFileErrorTexts checks the exact texts of errors in files of configuration
// changes.
func TestConfigFileErrorTexts(t *testing.T) {
	for _, tc := range []struct{ name, text, want string }{
		{"malformed", "=", "toml: invalid character at start of key: U+003D '='"},
		{"unknown field", "[[teams]]\nname = 'a'\ncpu = 1\n", "unknown field:\n1| [[teams]]\n2| name = 'a'\n3| cpu = 1\n | ~~~ unknown field"},
		{"another type", "[[teams]]\nname = 1\n", "toml: cannot decode TOML integer into struct field operatorapi.ConfigFileTeam.Name of type string"},
	} {
		_, err := ParseConfigFile([]byte(tc.text))
		if err == nil || err.Error() != tc.want {
			t.Errorf("%s: %v, want %s", tc.name, err, tc.want)
		}
	}
}
