package fake

import (
	"maps"
	"slices"
	"strings"
	"time"

	"damsonkeel/internal/protocol"
)

// KeyValueStore models the key-value store: items with versions, leases, and a log of changes.
type KeyValueStore struct {
	Revision protocol.Revision
	Log      []protocol.Event // the latest changes, in order
	Before   int              // how many came before these

	items     map[string]item
	leases    map[protocol.LeaseID]lease
	lastLease protocol.LeaseID
}

type item struct {
	value   protocol.RawValue
	version protocol.Version
	lease   protocol.LeaseID
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Duration
}

// NewKeyValueStore makes an empty store.
func NewKeyValueStore() *KeyValueStore {
	return &KeyValueStore{items: map[string]item{}, leases: map[protocol.LeaseID]lease{}}
}

// Changes is how many changes there were.
func (s *KeyValueStore) Changes() int { return s.Before + len(s.Log) }

// Change is one of them, by its number from 0.
func (s *KeyValueStore) Change(i int) protocol.Event { return s.Log[i-s.Before] }

// Forget drops the changes up to a number.
func (s *KeyValueStore) Forget(upto int) {
	s.Log = append([]protocol.Event(nil), s.Log[upto-s.Before:]...)
	s.Before = upto
}

// Lease grants a lease.
func (s *KeyValueStore) Lease(now, ttl time.Duration) protocol.LeaseID {
	s.lastLease++
	s.leases[s.lastLease] = lease{ttl, now + ttl}
	return s.lastLease
}

// Extend renews a lease and reports whether it was still there.
func (s *KeyValueStore) Extend(now time.Duration, id protocol.LeaseID) bool {
	l, ok := s.leases[id]
	if ok {
		s.leases[id] = lease{l.ttl, now + l.ttl}
	}
	return ok
}

// Expire ends the leases that have expired, and deletes their keys.
func (s *KeyValueStore) Expire(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if s.leases[id].expiresAt <= now {
			s.Release(id)
		}
	}
}

// Restore gives all leases their full time back, as after an outage.
func (s *KeyValueStore) Restore(now time.Duration) {
	for id, l := range s.leases {
		s.leases[id] = lease{l.ttl, now + l.ttl}
	}
}

// Release ends a lease, and deletes its keys.
func (s *KeyValueStore) Release(id protocol.LeaseID) {
	if _, ok := s.leases[id]; !ok {
		return
	}
	delete(s.leases, id)
	for _, k := range s.keys("") {
		if s.items[k].lease == id {
			s.Revision++
			s.remove(k)
		}
	}
}

// LeaseMissing reports whether a transaction writes with a lease that is over.
func (s *KeyValueStore) LeaseMissing(t protocol.Transaction) bool {
	for _, c := range t.Changes {
		if c.Lease == nil {
			continue
		}
		if _, ok := s.leases[*c.Lease]; !ok {
			return true
		}
	}
	return false
}

// Txn executes a transaction and reports whether its conditions held and its
// leases were there.
func (s *KeyValueStore) Txn(t protocol.Transaction) bool {
	for _, c := range t.Conditions {
		if s.items[c.Key].version != c.Version {
			return false
		}
	}
	if s.LeaseMissing(t) {
		return false
	}
	s.Revision++
	for _, c := range t.Changes {
		if c.Put == "" {
			s.remove(c.Delete)
		} else {
			s.put(c)
		}
	}
	return true
}

func (s *KeyValueStore) put(c protocol.Change) {
	value, err := protocol.Encode(c.Value)
	if err != nil {
		panic(err) // a test's own value
	}
	it := item{value: value, version: protocol.Version(s.Revision)}
	if c.Lease != nil {
		it.lease = *c.Lease
	}
	s.items[c.Put] = it
	s.Log = append(s.Log, protocol.Event{Put: c.Put, Value: value, Version: it.version})
}

func (s *KeyValueStore) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.Log = append(s.Log, protocol.Event{Delete: key, Version: protocol.Version(s.Revision)})
	}
}

// keys lists the keys with a prefix in order.
func (s *KeyValueStore) keys(prefix string) []string {
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// Get reads a key.
func (s *KeyValueStore) Get(key string) (protocol.Item, bool) {
	it, ok := s.items[key]
	return protocol.Item{Key: key, Value: it.value, Version: it.version}, ok
}

// List reads all keys with a prefix.
func (s *KeyValueStore) List(prefix string) []protocol.Item {
	var items []protocol.Item
	for _, k := range s.keys(prefix) {
		it, _ := s.Get(k)
		items = append(items, it)
	}
	return items
}
