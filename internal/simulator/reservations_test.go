package simulator

import (
	"testing"
	"time"

	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// smallSite returns a site of twelve machines kept busy by jobs, some of which run for twice
// their estimates, with one reservation an hour and a half after the start.
func smallSite() *Site {
	return &Site{
		Start: time.Date(2026, 3, 28, 23, 0, 0, 0, time.UTC), Machines: 12, ReportS: 5, LeaseS: 25, StepMS: 1000,
		Types: []Type{{Name: "m8", CPUs: 8, MemoryGB: 32, Price: 1, SpotPrice: 0.4, BootS: 20, Zones: []protocol.Zone{"a", "b"}}},
		Teams: []Team{{Name: "free"}, {Name: "bound", MaxCPUs: 24}},
		Load: []Load{
			{Class: "long", Team: "free", Priority: "standard", EveryS: 84, Tasks: 8, CPUs: 2, EstimateS: 180, RunTimeFactor: 2},
			{Class: "short", Team: "free", Priority: "standard", EveryS: 20, Tasks: 8, CPUs: 1, EstimateS: 30, RunTimeFactor: 1},
			{Class: "low", Team: "free", Priority: "best_effort", EveryS: 200, Tasks: 4, CPUs: 2, EstimateS: 300, RunTimeFactor: 1.5, CheckpointS: 30, CheckpointDurationS: 4, Spot: true},
		},
		Reservations: []Reservation{{Name: "one", Class: "one", Team: "free", Priority: "standard", When: "2026-03-29 at 00:30", HoldS: 600, LengthS: 300, Tasks: 8, CPUs: 4, MemoryGB: 1}},
	}
}

const (
	reservationOffset    = 90 * time.Minute // from the start of smallSite to the start of its reservation
	reservationRunLength = 105 * time.Minute
)

// TestReservationsAreMet tests that a reserved job starts within a minute of its time on a
// full fleet of jobs of the same priority, some of which run twice as long as estimated,
// whichever of the faults listed in the issue happens right before.
func TestReservationsAreMet(t *testing.T) {
	for name, tc := range map[string]struct {
		change        func(*Site)
		before        time.Duration // how long before the start of the reservation do is called
		do            func(*driver)
		expectNoStart bool
	}{
		"no fault": {},
		"all controllers crash a second before": {before: time.Second, do: func(p *driver) {
			for _, n := range p.nodes {
				n.crash()
			}
		}},
		"all controllers crash when holding starts": {before: 81 * time.Second, do: func(p *driver) {
			for _, n := range p.nodes {
				n.crash()
			}
		}},
		"the controller that provisions crashes":          {before: 2 * time.Minute, do: func(p *driver) { p.nodes[2].crash() }},
		"the state service has an outage at the start":    {before: 10 * time.Second, do: func(p *driver) { p.outageUntil = p.now + 25*time.Second }},
		"the cloud does not reply for ten minutes before": {before: 10 * time.Minute, do: func(p *driver) { p.cloudSilentUntil = p.now + 10*time.Minute }},
		"spot machines are preempted 30 s before":         {before: 30 * time.Second, do: (*driver).preemptSpotMachines},
		"a machine held for the reservation is lost": {before: 20 * time.Second, do: func(p *driver) {
			for _, n := range p.nodes {
				if n.core != nil && len(n.core.Status().Holds) > 0 {
					p.killMachine(n.core.Status().Holds[0].Machine)
					return
				}
			}
		}},
		"its job is submitted four minutes late":  {change: func(s *Site) { s.Reservations[0].SubmitAfterS = 240 }},
		"its job is submitted five minutes early": {change: func(s *Site) { s.Reservations[0].SubmitAfterS = -300 }},
		"its job has more tasks than reserved":    {change: func(s *Site) { s.Reservations[0].ExtraTasks = 6 }},
		"a gang in one zone":                      {change: func(s *Site) { s.Reservations[0].Gang, s.Reservations[0].OneZone = true, true }},
		"its job is never submitted":              {change: func(s *Site) { s.Reservations[0].NeverSubmitted = true }, expectNoStart: true},
		"it is cancelled while a controller is partitioned": {expectNoStart: true, change: func(s *Site) { s.Reservations[0].NeverSubmitted = true }, before: 5 * time.Minute, do: func(p *driver) {
			p.partition("node-1", "state", 4*time.Second, false)
			p.requestUntilDone(operatorapi.Request{Op: operatorapi.OpCancel, Name: "one"})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := smallSite()
			if tc.change != nil {
				tc.change(s)
			}
			o := Options{Duration: reservationRunLength, Seed: 1}
			if tc.do != nil {
				o.onStart = func(p *driver) { p.scheduleAt(warmUpTime+reservationOffset-tc.before, func() { tc.do(p) }) }
			}
			var state record.ReservationState
			o.onEnd = func(p *driver) {
				it, _ := p.state.Get(record.ReservationKey("one"))
				var r record.Reservation
				if err := protocol.Decode(it.Value, &r); err != nil {
					t.Error(err)
				}
				state = r.State
			}
			r := Run(s, o)
			if len(r.Violations) > 0 {
				t.Fatal(r.Violations)
			}
			if len(r.Refused) > 0 || len(r.Occurrences) != 1 {
				t.Fatalf("refused requests %v, %d occurrences", r.Refused, len(r.Occurrences))
			}
			got := r.Occurrences[0]
			switch {
			case tc.expectNoStart:
				if state != record.Expired && state != record.Cancelled {
					t.Errorf("state %s, want expired or cancelled", state)
				}
			case !got.Started || got.DelayS > maxInTimeDelayS:
				t.Errorf("started %v, %.0f s late, at risk %q", got.Started, got.DelayS, got.Risk)
			case state != record.Used:
				t.Errorf("state %s after the job started", state)
			}
		})
	}
}

// TestUnreservedJobStartsLate tests that the job of smallSite's reservation starts more than a
// minute late, or not at all, without the reservation, which shows that TestReservationsAreMet
// can fail. It also tests that no task starts in a maintenance window.
func TestUnreservedJobStartsLate(t *testing.T) {
	t.Parallel()
	s := smallSite()
	s.Windows = []Window{{Name: "w", When: "daily at 00:50", LengthS: 300, Zone: "a"}}
	r := Run(s, Options{Duration: reservationRunLength, Seed: 1, WithoutReservations: true})
	if len(r.Violations) > 0 {
		t.Fatal(r.Violations)
	}
	if got := r.Occurrences[0]; got.Started && got.DelayS <= maxInTimeDelayS {
		t.Errorf("the job started only %.0f s late without a reservation", got.DelayS)
	}
	if r.StartsInWindows > 0 {
		t.Errorf("%d starts in a maintenance window", r.StartsInWindows)
	}
}
