package kvstore

import (
	"testing"
	"time"
)

// TestShareEndsByItself: what was lent is not used after its time, though nobody
// says so: the actor that would may stand still.
func TestShareEndsByItself(t *testing.T) {
	s := NewClient("127.0.0.1:1", 100, 50, 1)
	own, all := RateAllotment{30, 10}, RateAllotment{60, 25}
	s.SetAllotment(own, all, time.Now().Add(time.Hour))
	if s.reads.Burst() != 60 || s.writes.Burst() != 25 {
		t.Errorf("%d requests and %d changes while it lasts", s.reads.Burst(), s.writes.Burst())
	}
	s.until = time.Now() // an hour later
	s.ask(1, First, true)
	if s.reads.Burst() != 30 || s.writes.Burst() != 10 {
		t.Errorf("%d requests and %d changes after it is over", s.reads.Burst(), s.writes.Burst())
	}
	s.SetAllotment(own, all, time.Now())
	if s.writes.Burst() != 10 {
		t.Errorf("%d changes by a loan that is over", s.writes.Burst())
	}
}

// TestAskedCountsRefusals: what is refused for want of share is asked for all
// the same; leases are never refused.
func TestAskedCountsRefusals(t *testing.T) {
	s := NewClient("127.0.0.1:1", 10, 4, 1)
	refused := 0
	for range 40 {
		if !s.ask(1, First, true) {
			refused++
		}
	}
	if a := s.DemandedRate(); a.Requests != 40 || a.Writes != 40 || refused < 30 {
		t.Errorf("asked %+v, %d refused", a, refused)
	}
	if !s.ask(0, First, false) {
		t.Error("a lease waits")
	}
	if a := s.DemandedRate(); a.Requests != 1 {
		t.Errorf("asked %+v since", a)
	}
}
