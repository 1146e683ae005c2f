package reservation

import (
	"slices"
	"testing"

	"damsonkeel/internal/record"
)

// TestOverlappingReservationIsAcceptedOrNamesConflict checks that of two reservations that
// overlap on one machine either both fit and the answer lists the overlap, or the second one
// is refused with the name of the first.
func TestOverlappingReservationIsAcceptedOrNamesConflict(t *testing.T) {
	for _, tc := range []struct {
		machines, first, second int
		at                      string
		ok, overlaps            bool
	}{
		{1, 1, 1, "04:10", true, true},
		{1, 1, 2, "04:10", false, false},
		{1, 2, 2, "05:10", true, false}, // the first has ended by then
		{0, 2, 2, "04:10", true, true},  // no bound on the machines
	} {
		c := NewCalendar()
		if a := accept(c, spec("one", "daily at 04:00", tc.first), facts(tc.machines), 1); !a.OK {
			t.Fatal(a.Reason)
		}
		c.ExtendIndex(noon)
		a := accept(c, spec("two", "weekly on wed at "+tc.at, tc.second), facts(tc.machines), 2)
		if a.OK != tc.ok || slices.Contains(a.Overlapping, "one") != tc.overlaps || !tc.ok && !slices.Contains(a.Conflicts, "one") {
			t.Errorf("%+v: %+v", tc, a)
		}
	}
}

// TestRefusalNamesConflicts checks that an entry that can't be kept is refused with the names
// of the entries that it conflicts with.
func TestRefusalNamesConflicts(t *testing.T) {
	c := NewCalendar()
	_ = c.PutWindow(record.Window{Spec: record.WindowSpec{Name: "all", When: "daily at 03:50", LengthS: 1200}}, 1, noon)
	_ = c.PutWindow(record.Window{Spec: record.WindowSpec{Name: "zone-a", When: "daily at 12:00", LengthS: 600, Zone: "a"}}, 1, noon)
	if a := c.DecideReservation(spec("one", "daily at 04:00", 1), facts(9), noon); a.OK || !slices.Contains(a.Conflicts, "all") {
		t.Errorf("overlapping a window of the whole site: %+v", a)
	}
	if a := c.DecideReservation(spec("one", "daily at 12:05", 1), facts(9), noon); !a.OK {
		t.Errorf("overlapping a window of the other zone: %+v", a)
	}
	inZoneA := spec("one", "daily at 12:05", 1)
	if inZoneA.Zone = "a"; c.DecideReservation(inZoneA, facts(9), noon).OK {
		t.Error("accepted in a zone under maintenance")
	}
	// Each zone has two of the four machines. A zone under maintenance makes its two
	// unavailable, and a reservation in one zone can't use more than two.
	if a := c.DecideReservation(spec("one", "daily at 12:05", 5), facts(4), noon); a.OK || !slices.Contains(a.Conflicts, "zone-a") {
		t.Errorf("more than the remaining zone has: %+v", a)
	}
	oneZone := spec("one", "daily at 06:00", 5)
	if a := c.DecideReservation(oneZone, facts(4), noon); !a.OK {
		t.Errorf("in both zones: %+v", a)
	}
	if oneZone.OneZone = true; c.DecideReservation(oneZone, facts(4), noon).OK {
		t.Error("accepted in one zone, which has too few machines")
	}
	large := spec("one", "daily at 06:00", 1)
	if large.CPUs = 9; c.DecideReservation(large, facts(0), noon).OK {
		t.Error("accepted with tasks larger than any machine")
	}
	team := spec("one", "daily at 06:00", 3)
	team.Team = "small"
	if a := accept(c, team, facts(0), 3); !a.OK {
		t.Errorf("within its team's limit: %+v", a)
	}
	more := spec("more", "daily at 06:20", 3)
	more.Team = "small"
	if a := c.DecideReservation(more, facts(0), noon); a.OK || !slices.Contains(a.Conflicts, "one") {
		t.Errorf("over its team's limit: %+v", a)
	}
	if a := c.DecideWindow(&record.WindowSpec{Name: "new", When: "daily at 06:00", LengthS: 60}, facts(0), noon); a.OK || !slices.Contains(a.Conflicts, "one") {
		t.Errorf("a window that displaces a reservation: %+v", a)
	}
	if a := c.DecideWindow(&record.WindowSpec{Name: "new", When: "daily at 06:00", LengthS: 60, Zone: "b"}, facts(0), noon); !a.OK {
		t.Errorf("a window that leaves enough resources: %+v", a)
	}
}
