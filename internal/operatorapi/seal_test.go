package operatorapi

import (
	"testing"
	"time"

	"damsonkeel/internal/protocol"
)

// TestOpenAcceptsOnlyFreshSealedRequests checks that a request is accepted only with a
// recent seal by a known key, and only if it is unchanged.
func TestOpenAcceptsOnlyFreshSealedRequests(t *testing.T) {
	key, err := NewKey("ops")
	if err != nil {
		t.Fatal(err)
	}
	other, _ := NewKey("ops")
	now := time.UnixMilli(1_770_000_000_000)
	body, err := Seal(key, now, Request{Op: OpCancel, Name: "one"})
	if err != nil {
		t.Fatal(err)
	}
	tampered := func(modify func(*Sealed)) []byte {
		var s Sealed
		if err := protocol.Decode(body, &s); err != nil {
			t.Fatal(err)
		}
		modify(&s)
		b, _ := protocol.Encode(s)
		return b
	}
	for _, tc := range []struct {
		name string
		body []byte
		keys []Key
		at   time.Duration
		ok   bool
	}{
		{"as sealed", body, []Key{key}, time.Second, true},
		{"during key rotation", body, []Key{other, key}, 0, true},
		{"another key of the same name", body, []Key{other}, 0, false},
		{"expired", body, []Key{key}, 2 * SealLifetime, false},
		{"from the future", body, []Key{key}, -2 * SealLifetime, false},
		{"another request", tampered(func(s *Sealed) { s.Request = "oA==" }), []Key{key}, 0, false},
		{"another time", tampered(func(s *Sealed) { s.AtMS++ }), []Key{key}, 0, false},
		{"another name", tampered(func(s *Sealed) { s.Key = "op" }), []Key{key, {"op", key.Secret}}, 0, false},
		{"empty body", nil, []Key{key}, 0, false},
	} {
		r, keyName, err := Open(tc.body, tc.keys, now.Add(tc.at), time.Second)
		if (err == nil) != tc.ok || tc.ok && (r.Name != "one" || keyName != "ops") {
			t.Errorf("%s: %v", tc.name, err)
		}
	}
}
