package kvstore

import (
	"context"
	"errors"
	"testing"
	"time"

	"damsonkeel/internal/serviceclient"
)

// TestBorrowedRateEndsByItself: a borrowed rate is not used after its time, though
// SetAllotment is not called again: the actor that would call it may be stalled.
func TestBorrowedRateEndsByItself(t *testing.T) {
	s := NewClient("127.0.0.1:1", 100, 50, 1)
	b := s.budget
	own, all := RateAllotment{30, 10}, RateAllotment{60, 25}
	s.SetAllotment(own, all, time.Now().Add(time.Hour))
	if b.requests.Burst() != 60 || b.writes.Burst() != 25 {
		t.Errorf("%d requests and %d changes while it lasts", b.requests.Burst(), b.writes.Burst())
	}
	b.borrowedUntil = time.Now() // an hour later
	b.allow(1, PriorityHigh)
	if b.requests.Burst() != 30 || b.writes.Burst() != 10 {
		t.Errorf("%d requests and %d changes after it is over", b.requests.Burst(), b.writes.Burst())
	}
	s.SetAllotment(own, all, time.Now())
	if b.writes.Burst() != 10 {
		t.Errorf("%d changes by a borrowed rate that has run out", b.writes.Burst())
	}
}

// TestDemandCountsRefusedRequests: requests that the budget refuses count as demand too;
// those of leases are never refused.
func TestDemandCountsRefusedRequests(t *testing.T) {
	s := NewClient("127.0.0.1:1", 10, 4, 1)
	refused := 0
	for range 40 {
		if !s.budget.allow(1, PriorityHigh) {
			refused++
		}
	}
	if demanded := s.DemandedRate(); demanded.Requests != 40 || demanded.Writes != 40 || refused < 30 {
		t.Errorf("demanded %+v, %d refused", demanded, refused)
	}
	if err := s.KeepAlive(context.Background(), 1); err == nil || errors.Is(err, serviceclient.ErrRefused) {
		t.Errorf("renewal of a lease: %v, want a connection that fails", err)
	}
	if demanded := s.DemandedRate(); demanded.Requests != 1 || demanded.Writes != 0 {
		t.Errorf("demanded %+v since", demanded)
	}
}
