package reservation

import (
	"testing"
	"time"

	"damsonkeel/internal/record"
)

// TestReservationAdvancesThroughItsStates checks the state transitions of a reservation, also
// when they happen late, and that a recurring one moves to its next occurrence that can still
// be served.
func TestReservationAdvancesThroughItsStates(t *testing.T) {
	schedule, _ := ParseSchedule("daily at 04:00")
	start := schedule.Occurrences(noon, After(noon, Horizon))[0]
	r := record.Reservation{Spec: *spec("one", "daily at 04:00", 4), State: record.Accepted, StartMS: start}
	step := func(r record.Reservation, now Moment, jobAccepted bool, started int, risk string) record.Reservation {
		r, _ = AdvanceState(r, schedule, Observation{Now: now, ClockError: time.Second, Lead: 5 * time.Minute, JobAccepted: jobAccepted, Wanted: 4, Started: started, Risk: risk})
		return r
	}
	if got := step(r, After(start, -6*time.Minute), false, 0, ""); got.State != record.Accepted {
		t.Errorf("long before the start: %s", got.State)
	}
	held := step(r, After(start, -4*time.Minute), false, 0, "no room")
	if held.State != record.Holding || held.Risk == "" || held.RiskMS != After(start, -4*time.Minute) {
		t.Errorf("shortly before the start: %+v", held)
	}
	if still := step(held, After(start, -time.Minute), false, 0, "less room"); still.RiskMS != held.RiskMS || still.Risk != "less room" {
		t.Errorf("at risk since %d, want %d", still.RiskMS, held.RiskMS)
	}
	if got := step(held, After(start, 9*time.Minute), true, 3, ""); got.State != record.Holding || got.Risk != "" {
		t.Errorf("partly started: %+v", got)
	}
	for _, tc := range []struct {
		now         time.Duration
		jobAccepted bool
		state       record.ReservationState
		next        time.Duration
	}{{time.Second, true, record.Used, 24 * time.Hour}, {11 * time.Minute, false, record.Expired, 24 * time.Hour}, {50 * time.Hour, false, record.Expired, 72 * time.Hour}} {
		got := step(held, After(start, tc.now), tc.jobAccepted, 4, "")
		if got.State != record.Accepted || got.StartMS != After(start, tc.next) || len(got.Past) != 1 || got.Past[0].State != tc.state {
			t.Errorf("%v after the start: %+v", tc.now, got)
		}
	}
	if _, changed := AdvanceState(record.Reservation{State: record.Cancelled, Spec: r.Spec, StartMS: start}, schedule, Observation{Now: start}); changed {
		t.Error("cancelled reservation changed")
	}
}
