package kvstore

import (
	"context"
	"errors"
	"testing"
	"time"

	"damsonkeel/internal/serviceclient"
)

// TestBorrowedRateExpiresWithoutUpdate: a borrowed rate is not used after its expiry even
// if SetAllotment is not called again, since the actor that calls it may be stalled.
func TestBorrowedRateExpiresWithoutUpdate(t *testing.T) {
	s := NewClient("127.0.0.1:1", 100, 50, 1)
	b := s.budget
	own, all := RateAllotment{30, 10}, RateAllotment{60, 25}
	s.SetAllotment(own, all, time.Now().Add(time.Hour))
	if b.requests.Burst() != 60 || b.writes.Burst() != 25 {
		t.Errorf("burst of %d requests and %d writes while the borrowed rate is valid, want 60 and 25", b.requests.Burst(), b.writes.Burst())
	}
	b.borrowedUntil = time.Now() // as if an hour had passed
	b.allow(1, PriorityHigh)
	if b.requests.Burst() != 30 || b.writes.Burst() != 10 {
		t.Errorf("burst of %d requests and %d writes after the borrowed rate expired, want 30 and 10", b.requests.Burst(), b.writes.Burst())
	}
	s.SetAllotment(own, all, time.Now())
	if b.writes.Burst() != 10 {
		t.Errorf("burst of %d writes with a borrowed rate that has expired, want 10", b.writes.Burst())
	}
}

// TestDemandCountsRefusedRequests: requests that the budget refuses count as demand too.
// Requests about leases are never refused.
func TestDemandCountsRefusedRequests(t *testing.T) {
	s := NewClient("127.0.0.1:1", 10, 4, 1)
	refused := 0
	for range 40 {
		if !s.budget.allow(1, PriorityHigh) {
			refused++
		}
	}
	if demanded := s.TakeDemandedRate(); demanded.Requests != 40 || demanded.Writes != 40 || refused < 30 {
		t.Errorf("demand %+v, %d refused, want 40 requests and 40 writes, most refused", demanded, refused)
	}
	if err := s.KeepAlive(context.Background(), 1); err == nil || errors.Is(err, serviceclient.ErrRefused) {
		t.Errorf("renewal of a lease: %v, want a connection error", err)
	}
	if demanded := s.TakeDemandedRate(); demanded.Requests != 1 || demanded.Writes != 0 {
		t.Errorf("demand %+v after the renewal of a lease, want 1 request", demanded)
	}
}
