package fake

import (
	"testing"
	"time"

	"damsonkeel/internal/protocol"
)

// TestTransactionRequiresVersions checks that a transaction is executed only if all its
// conditions hold, and that all its changes get the same version.
func TestTransactionRequiresVersions(t *testing.T) {
	s := NewKeyValueStore()
	create := protocol.Transaction{
		Conditions: []protocol.Condition{{Key: "a"}},
		Changes:    []protocol.Change{{Put: "a", Value: 1}, {Put: "b", Value: 2}},
	}
	if !s.Execute(create) || s.Execute(create) {
		t.Fatal("the transaction that creates a key did not succeed exactly once")
	}
	a, _ := s.Get("a")
	b, _ := s.Get("b")
	if a.Version != b.Version || a.Version == 0 || s.Changes() != 2 {
		t.Fatalf("versions %d and %d after %d changes, want equal versions after 2 changes", a.Version, b.Version, s.Changes())
	}
	remove := protocol.Transaction{
		Conditions: []protocol.Condition{{Key: "a", Version: a.Version}},
		Changes:    []protocol.Change{{Delete: "a"}, {Delete: "never there"}},
	}
	if !s.Execute(remove) || s.Execute(remove) || s.Changes() != 3 || len(s.List("")) != 1 {
		t.Errorf("%d changes and %d items after a repeated deletion, want 3 changes and 1 item", s.Changes(), len(s.List("")))
	}
}

// TestLeaseExpiryDeletesItsKeys checks that a key exists until its lease expires, that
// extending and restoring the lease postpone the expiry, and that no transaction can write
// under an expired lease.
func TestLeaseExpiryDeletesItsKeys(t *testing.T) {
	s := NewKeyValueStore()
	lease := s.GrantLease(0, time.Second)
	write := protocol.Transaction{Changes: []protocol.Change{{Put: "a", Value: 1, Lease: &lease}}}
	if !s.Execute(write) || !s.ExtendLease(500*time.Millisecond, lease) {
		t.Fatal("the granted lease can't be used")
	}
	s.ExpireLeases(time.Second)
	if _, ok := s.Get("a"); !ok {
		t.Error("key deleted although its lease was extended")
	}
	s.RenewAllLeases(time.Second)
	s.ExpireLeases(1999 * time.Millisecond)
	if _, ok := s.Get("a"); !ok {
		t.Error("key deleted although its lease was restored")
	}
	s.ExpireLeases(2 * time.Second)
	if _, ok := s.Get("a"); ok || s.ExtendLease(2*time.Second, lease) || !s.UsesMissingLease(write) || s.Execute(write) {
		t.Error("the lease is still usable, or its key still exists, after the expiry")
	}
}
