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
// time and the request. The request and the seal are encoded as text, since message bodies
// have no binary values.
type Sealed struct {
	Key     string `cbor:"key"`     // name of the key
	AtMS    int64  `cbor:"at_ms"`   // time of the seal, as Unix time in milliseconds
	Request string `cbor:"request"` // base64 of the request's CBOR encoding
	Seal    string `cbor:"seal"`    // hexadecimal
}

// sealDomain separates seals from other uses of the same secret.
const sealDomain = "damsonkeel operator v1"

// mac returns the seal of a request: the HMAC-SHA256 of sealDomain, the key's name, the time
// in Unix milliseconds and the base64 text of the request.
func (k Key) mac(atMS int64, request string) []byte {
	h := hmac.New(sha256.New, k.Secret)
	for _, part := range []string{sealDomain, k.Name, strconv.FormatInt(atMS, 10), request} {
		h.Write([]byte(strconv.Itoa(len(part)) + ":" + part)) // the length makes the concatenation unambiguous
	}
	return h.Sum(nil)
}

// Seal returns the encoding of a Sealed with the request, the key's name, the time now and
// the seal: the message body to send.
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

// SealLifetime is the largest difference between the time of a seal and the receiver's
// clock, in either direction, for which the seal is accepted; the error of both clocks is
// added to it. Within that time, anyone who has seen the request can replay it; a replayed
// OpAdd or OpConfigure has no further effect because of its idempotency key. OpCancel, OpMove
// and OpAway have no such key: they set a state, and a replay sets the same state again.
const SealLifetime = 30 * time.Second

// ErrSeal is returned for a request without a valid and recent seal.
var ErrSeal = errors.New("not sealed by an operator's key, or too long ago")

// Open authenticates and decodes a message body that Seal returned, and returns the request
// with the name of its key. The seal must match one of keys, and its time must differ from
// now by at most SealLifetime and twice clockError. Every error wraps ErrSeal, so that the
// sender can't distinguish an unknown key from a wrong or expired seal.
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
