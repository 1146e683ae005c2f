package fake

import (
	"testing"
	"time"

	"damsonkeel/internal/protocol"
)

// TestTransactionHoldsOnVersions: a transaction is executed only if all of its conditions
// hold, and all or none of its changes are made, in one version.
func TestTransactionHoldsOnVersions(t *testing.T) {
	s := NewKeyValueStore()
	create := protocol.Transaction{
		Conditions: []protocol.Condition{{Key: "a"}},
		Changes:    []protocol.Change{{Put: "a", Value: 1}, {Put: "b", Value: 2}},
	}
	if !s.Txn(create) || s.Txn(create) {
		t.Fatal("a key is not created once")
	}
	a, _ := s.Get("a")
	b, _ := s.Get("b")
	if a.Version != b.Version || a.Version == 0 || s.Changes() != 2 {
		t.Fatalf("versions %d and %d after %d changes", a.Version, b.Version, s.Changes())
	}
	remove := protocol.Transaction{
		Conditions: []protocol.Condition{{Key: "a", Version: a.Version}},
		Changes:    []protocol.Change{{Delete: "a"}, {Delete: "never there"}},
	}
	if !s.Txn(remove) || s.Txn(remove) || s.Changes() != 3 || len(s.List("")) != 1 {
		t.Errorf("%d changes, %d items after a deletion", s.Changes(), len(s.List("")))
	}
}

// TestLeaseExpiryDeletesItsKeys: a key lives as long as its lease, which is extended and
// restored, and no transaction writes by a lease that has expired.
func TestLeaseExpiryDeletesItsKeys(t *testing.T) {
	s := NewKeyValueStore()
	lease := s.Lease(0, time.Second)
	write := protocol.Transaction{Changes: []protocol.Change{{Put: "a", Value: 1, Lease: &lease}}}
	if !s.Txn(write) || !s.Extend(500*time.Millisecond, lease) {
		t.Fatal("the lease is not there")
	}
	s.Expire(time.Second)
	if _, ok := s.Get("a"); !ok {
		t.Error("deleted though the lease was extended")
	}
	s.Restore(time.Second)
	s.Expire(1999 * time.Millisecond)
	if _, ok := s.Get("a"); !ok {
		t.Error("deleted though the lease was restored")
	}
	s.Expire(2 * time.Second)
	if _, ok := s.Get("a"); ok || s.Extend(2*time.Second, lease) || !s.LeaseMissing(write) || s.Txn(write) {
		t.Error("the lease has not expired")
	}
}
