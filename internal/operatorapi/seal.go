package operatorapi

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"damsonkeel/internal/protocol"
)

// Sealed is an authenticated request. Its seal is an HMAC-SHA256 of the key's name, the
// time and the request. Bodies have no binary values.
type Sealed struct {
	Key     string `cbor:"key"`
	AtMS    int64  `cbor:"at_ms"`
	Request string `cbor:"request"` // base64 of its CBOR form
	Seal    string `cbor:"seal"`    // hex
}

// sealDomain separates seals from other uses of the same secret.
const sealDomain = "damsonkeel operator v1"

// mac computes the seal of an encoded request.
func (k Key) mac(atMS int64, request string) []byte {
	h := hmac.New(sha256.New, k.Secret)
	for _, part := range []string{sealDomain, k.Name, strconv.FormatInt(atMS, 10), request} {
		h.Write([]byte(strconv.Itoa(len(part)) + ":" + part)) // the length makes the concatenation unambiguous
	}
	return h.Sum(nil)
}

// Seal encodes and seals a request.
func Seal(k Key, now time.Time, r Request) ([]byte, error) {
	request, err := protocol.Encode(r)
	if err != nil {
		return nil, fmt.Errorf("seal: %w", err)
	}
	s := Sealed{Key: k.Name, AtMS: now.UnixMilli(), Request: base64.StdEncoding.EncodeToString(request)}
	s.Seal = hex.EncodeToString(k.mac(s.AtMS, s.Request))
	body, err := protocol.Encode(s)
	if err != nil {
		return nil, fmt.Errorf("seal: %w", err)
	}
	return body, nil
}

// SealLifetime is how old a sealed request may be, and how far ahead of the receiver's
// clock, beyond the error of clocks. Within that time whoever has seen it can replay it;
// a replayed change does nothing more because of its id.
const SealLifetime = 30 * time.Second

// ErrSeal is returned for a request that no valid seal authenticates.
var ErrSeal = errors.New("not sealed by an operator's key, or too long ago")

// Open authenticates and decodes a sealed request, and returns it with the name of its
// key. The sender can't distinguish the reasons of a failure.
func Open(body []byte, keys []Key, now time.Time, clockError time.Duration) (Request, string, error) {
	var s Sealed
	if err := protocol.Decode(body, &s); err != nil {
		return Request{}, "", fmt.Errorf("%w: %w", ErrSeal, err)
	}
	seal, err := hex.DecodeString(s.Seal)
	if err != nil {
		return Request{}, "", ErrSeal
	}
	valid := slices.ContainsFunc(keys, func(k Key) bool {
		return k.Name == s.Key && hmac.Equal(seal, k.mac(s.AtMS, s.Request))
	})
	age := now.Sub(time.UnixMilli(s.AtMS)).Abs()
	if !valid || age > SealLifetime+2*clockError {
		return Request{}, "", ErrSeal
	}
	request, err := base64.StdEncoding.DecodeString(s.Request)
	if err != nil {
		return Request{}, "", ErrSeal
	}
	var r Request
	if err := protocol.Decode(request, &r); err != nil {
		return Request{}, "", fmt.Errorf("%w: %w", ErrSeal, err)
	}
	return r, s.Key, nil
}
