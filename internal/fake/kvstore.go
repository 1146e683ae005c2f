package fake

import (
	"maps"
	"slices"
	"strings"
	"time"

	"damsonkeel/internal/protocol"
)

// KeyValueStore models the key-value store: versioned items, leases and a log of changes. A
// key that is written under a lease is deleted with the lease.
type KeyValueStore struct {
	Revision         protocol.Revision // number of executed transactions and of keys deleted with a lease
	Log              []protocol.Event  // the most recent changes, oldest first
	CompactedChanges int               // number of older changes that were dropped from Log

	items     map[string]storedItem
	leases    map[protocol.LeaseID]lease
	lastLease protocol.LeaseID
}

type storedItem struct {
	value   protocol.RawValue
	version protocol.Version
	lease   protocol.LeaseID
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Duration
}

// NewKeyValueStore returns an empty store.
func NewKeyValueStore() *KeyValueStore {
	return &KeyValueStore{items: map[string]storedItem{}, leases: map[protocol.LeaseID]lease{}}
}

// Changes returns the total number of changes of keys, including those dropped from the log.
func (s *KeyValueStore) Changes() int { return s.CompactedChanges + len(s.Log) }

// Change returns the change with number i, counted from 0. It must still be in the log.
func (s *KeyValueStore) Change(i int) protocol.Event { return s.Log[i-s.CompactedChanges] }

// Compact drops all changes with a number below upto from the log.
func (s *KeyValueStore) Compact(upto int) {
	s.Log = append([]protocol.Event(nil), s.Log[upto-s.CompactedChanges:]...)
	s.CompactedChanges = upto
}

// GrantLease grants a lease with the given time to live and returns its id.
func (s *KeyValueStore) GrantLease(now, ttl time.Duration) protocol.LeaseID {
	s.lastLease++
	s.leases[s.lastLease] = lease{ttl, now + ttl}
	return s.lastLease
}

// ExtendLease renews a lease for its full time to live and reports whether it still exists.
func (s *KeyValueStore) ExtendLease(now time.Duration, id protocol.LeaseID) bool {
	l, ok := s.leases[id]
	if ok {
		s.leases[id] = lease{l.ttl, now + l.ttl}
	}
	return ok
}

// ExpireLeases removes the leases that were last renewed at least their time to live ago, and
// deletes their keys.
func (s *KeyValueStore) ExpireLeases(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if s.leases[id].expiresAt <= now {
			s.ReleaseLease(id)
		}
	}
}

// RenewAllLeases renews all leases for their full time to live, as the store does after an
// outage.
func (s *KeyValueStore) RenewAllLeases(now time.Duration) {
	for id, l := range s.leases {
		s.leases[id] = lease{l.ttl, now + l.ttl}
	}
}

// ReleaseLease removes a lease and deletes the keys that were written under it. It does nothing
// if the lease does not exist.
func (s *KeyValueStore) ReleaseLease(id protocol.LeaseID) {
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

// UsesMissingLease reports whether a transaction writes a key under a lease that does not
// exist any more.
func (s *KeyValueStore) UsesMissingLease(t protocol.Transaction) bool {
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

// Execute executes a transaction if all its conditions hold and all its leases exist, and
// reports whether it did.
func (s *KeyValueStore) Execute(t protocol.Transaction) bool {
	for _, c := range t.Conditions {
		if s.items[c.Key].version != c.Version {
			return false
		}
	}
	if s.UsesMissingLease(t) {
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

// put writes one key, with the current revision as its version, and adds the change to the log.
func (s *KeyValueStore) put(c protocol.Change) {
	value, err := protocol.Encode(c.Value)
	if err != nil {
		panic(err) // only tests pass values, so this is an error of the test
	}
	it := storedItem{value: value, version: protocol.Version(s.Revision)}
	if c.Lease != nil {
		it.lease = *c.Lease
	}
	s.items[c.Put] = it
	s.Log = append(s.Log, protocol.Event{Put: c.Put, Value: value, Version: it.version})
}

// remove deletes a key if it exists, and adds the change at the current revision to the log.
func (s *KeyValueStore) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.Log = append(s.Log, protocol.Event{Delete: key, Version: protocol.Version(s.Revision)})
	}
}

// keys returns the keys with a prefix, sorted.
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

// Get returns the item of a key, without its lease, and reports whether the key exists.
func (s *KeyValueStore) Get(key string) (protocol.Item, bool) {
	it, ok := s.items[key]
	return protocol.Item{Key: key, Value: it.value, Version: it.version}, ok
}

// List returns the items of all keys with a prefix, sorted by key.
func (s *KeyValueStore) List(prefix string) []protocol.Item {
	var items []protocol.Item
	for _, k := range s.keys(prefix) {
		it, _ := s.Get(k)
		items = append(items, it)
	}
	return items
}
