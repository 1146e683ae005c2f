package operatorapi

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"damsonkeel/internal/protocol"
)

// Sealed is a request with the proof that it comes from an operator: HMAC-SHA256
// of the key's name, the time and the request. Bodies hold nothing binary.
type Sealed struct {
	Key     string `cbor:"key"`
	AtMS    int64  `cbor:"at_ms"`
	Request string `cbor:"request"` // base64 of its CBOR form
	Seal    string `cbor:"seal"`    // hex
}

// Key is an operator's key.
type Key struct {
	Name   string
	Secret []byte
}

// secretLeast is how many bytes a secret has at the least.
const secretLeast = 32

// NewKey makes a key from the system's random source.
func NewKey(name string) (Key, error) {
	k := Key{Name: name, Secret: make([]byte, secretLeast)}
	if _, err := rand.Read(k.Secret); err != nil {
		return Key{}, fmt.Errorf("operator's key: %w", err)
	}
	return k, checkKeyName(name)
}

func checkKeyName(name string) error {
	if name == "" || len(name) > 60 || strings.ContainsAny(name, " \t\n#") {
		return fmt.Errorf("operator's key: %q is no name of 1 to 60 characters without spaces", name)
	}
	return nil
}

// String is the form in which keys are kept in a file: a name and the secret.
func (k Key) String() string { return k.Name + " " + hex.EncodeToString(k.Secret) }

// ParseKeys reads a file of keys, one on a line; "#" begins a comment.
func ParseKeys(text string) ([]Key, error) {
	var keys []Key
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		if len(f) != 2 {
			return nil, fmt.Errorf("operators' keys: line %d: want a name and a secret", i+1)
		}
		secret, err := hex.DecodeString(f[1])
		if err != nil || len(secret) < secretLeast {
			return nil, fmt.Errorf("operators' keys: line %d: the secret is not %d hexadecimal digits or more", i+1, 2*secretLeast)
		}
		if err := checkKeyName(f[0]); err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		keys = append(keys, Key{f[0], secret})
	}
	if len(keys) == 0 {
		return nil, errors.New("operators' keys: none")
	}
	return keys, nil
}

// ReadKeys reads a file of keys that nobody but its owner may read.
func ReadKeys(path string) ([]Key, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("operators' keys: %w", err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("operators' keys: %s may be read by others (mode %v): chmod 600", path, info.Mode().Perm())
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operators' keys: %w", err)
	}
	return ParseKeys(string(b))
}

func (k Key) mac(atMS int64, request string) []byte {
	h := hmac.New(sha256.New, k.Secret)
	for _, part := range []string{"damsonkeel operator v1", k.Name, strconv.FormatInt(atMS, 10), request} {
		h.Write([]byte(strconv.Itoa(len(part)) + ":" + part)) // lengths keep the parts apart
	}
	return h.Sum(nil)
}

// Seal seals a request at a time of day.
func Seal(k Key, now time.Time, r Request) ([]byte, error) {
	b, err := protocol.Encode(r)
	if err != nil {
		return nil, err
	}
	s := Sealed{Key: k.Name, AtMS: now.UnixMilli(), Request: base64.StdEncoding.EncodeToString(b)}
	s.Seal = hex.EncodeToString(k.mac(s.AtMS, s.Request))
	return protocol.Encode(s)
}

// SealLasts is how old a sealed request may be, and how far ahead of the
// receiver's clock, beyond what clocks may be off by. Within that time it can be
// repeated by whoever saw it; a repeated change does nothing more, by its id.
const SealLasts = 30 * time.Second

// ErrSeal is a request that is not proven to be an operator's.
var ErrSeal = errors.New("not sealed by an operator's key, or too long ago")

// Open checks a sealed request against the keys that hold now, and returns it
// with the key's name. All failures look the same to who asked.
func Open(body []byte, keys []Key, now time.Time, clockError time.Duration) (Request, string, error) {
	var s Sealed
	if err := protocol.Decode(body, &s); err != nil {
		return Request{}, "", fmt.Errorf("%w: %w", ErrSeal, err)
	}
	seal, err := hex.DecodeString(s.Seal)
	if err != nil {
		return Request{}, "", ErrSeal
	}
	good := false
	for _, k := range keys {
		// Several keys may have one name while it is changed for another.
		good = good || k.Name == s.Key && hmac.Equal(seal, k.mac(s.AtMS, s.Request))
	}
	if age := now.Sub(time.UnixMilli(s.AtMS)); !good || age.Abs() > SealLasts+2*clockError {
		return Request{}, "", ErrSeal
	}
	b, err := base64.StdEncoding.DecodeString(s.Request)
	if err != nil {
		return Request{}, "", ErrSeal
	}
	var r Request
	if err := protocol.Decode(b, &r); err != nil {
		return Request{}, "", fmt.Errorf("%w: %w", ErrSeal, err)
	}
	return r, s.Key, nil
}
