package operatorapi

import (
	"testing"
	"time"

	"damsonkeel/internal/protocol"
)

// TestOpenAcceptsOnlyFreshSealedRequests: a request is accepted from the owner of a key
// if it is fresh and unchanged.
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
	change := func(do func(*Sealed)) []byte {
		var s Sealed
		if err := protocol.Decode(body, &s); err != nil {
			t.Fatal(err)
		}
		do(&s)
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
		{"while the key is changed", body, []Key{other, key}, 0, true},
		{"by another key of its name", body, []Key{other}, 0, false},
		{"too old", body, []Key{key}, 2 * SealLifetime, false},
		{"from the future", body, []Key{key}, -2 * SealLifetime, false},
		{"another request", change(func(s *Sealed) { s.Request = "oA==" }), []Key{key}, 0, false},
		{"another time", change(func(s *Sealed) { s.AtMS++ }), []Key{key}, 0, false},
		{"another name", change(func(s *Sealed) { s.Key = "op" }), []Key{key, {"op", key.Secret}}, 0, false},
		{"nothing", nil, []Key{key}, 0, false},
	} {
		r, by, err := Open(tc.body, tc.keys, now.Add(tc.at), time.Second)
		if (err == nil) != tc.ok || tc.ok && (r.Name != "one" || by != "ops") {
			t.Errorf("%s: %v", tc.name, err)
		}
	}
}
