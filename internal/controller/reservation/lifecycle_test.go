package reservation

import (
	"testing"
	"time"

	"damsonkeel/internal/record"
)

// TestAdvance: a reservation goes through its states, late too, and a recurring
// one on to its next time that can still be met.
func TestAdvance(t *testing.T) {
	w, _ := ParseSchedule("daily at 04:00")
	start := w.Occurrences(noon, After(noon, Horizon))[0]
	r := record.Reservation{Spec: *spec("one", "daily at 04:00", 4), State: record.Accepted, StartMS: start}
	step := func(r record.Reservation, now Moment, came bool, started int, risk string) record.Reservation {
		r, _ = Advance(r, w, Observation{Now: now, ClockError: time.Second, Lead: 5 * time.Minute, JobAccepted: came, Wanted: 4, Started: started, Risk: risk})
		return r
	}
	if got := step(r, After(start, -6*time.Minute), false, 0, ""); got.State != record.Accepted {
		t.Errorf("long before: %s", got.State)
	}
	held := step(r, After(start, -4*time.Minute), false, 0, "no room")
	if held.State != record.Holding || held.Risk == "" || held.RiskMS != After(start, -4*time.Minute) {
		t.Errorf("near: %+v", held)
	}
	if still := step(held, After(start, -time.Minute), false, 0, "less room"); still.RiskMS != held.RiskMS || still.Risk != "less room" {
		t.Errorf("at risk since %d, want %d", still.RiskMS, held.RiskMS)
	}
	if got := step(held, After(start, 9*time.Minute), true, 3, ""); got.State != record.Holding || got.Risk != "" {
		t.Errorf("started in part: %+v", got)
	}
	for _, tc := range []struct {
		now   time.Duration
		came  bool
		state record.ReservationState
		next  time.Duration
	}{{time.Second, true, record.Used, 24 * time.Hour}, {11 * time.Minute, false, record.Expired, 24 * time.Hour}, {50 * time.Hour, false, record.Expired, 72 * time.Hour}} {
		got := step(held, After(start, tc.now), tc.came, 4, "")
		if got.State != record.Accepted || got.StartMS != After(start, tc.next) || len(got.Past) != 1 || got.Past[0].State != tc.state {
			t.Errorf("%v after: %+v", tc.now, got)
		}
	}
	if _, changed := Advance(record.Reservation{State: record.Cancelled, Spec: r.Spec, StartMS: start}, w, Observation{Now: start}); changed {
		t.Error("cancelled goes on")
	}
}
