package reservation

import (
	"slices"
	"testing"

	"damsonkeel/internal/record"
)

// TestOverlappingReservationsFitOrAreRefused: of two reservations that overlap on one
// machine either both fit and the answer says so, or the later one is refused by the
// name of the first.
func TestOverlappingReservationsFitOrAreRefused(t *testing.T) {
	for _, tc := range []struct {
		machines, first, second int
		at                      string
		ok, beside              bool
	}{
		{1, 1, 1, "04:10", true, true},
		{1, 1, 2, "04:10", false, false},
		{1, 2, 2, "05:10", true, false}, // the first is over by then
		{0, 2, 2, "04:10", true, true},  // as many machines as are asked for
	} {
		c := NewCalendar()
		if a := accept(c, spec("one", "daily at 04:00", tc.first), facts(tc.machines), 1); !a.OK {
			t.Fatal(a.Reason)
		}
		c.Extend(noon)
		a := accept(c, spec("two", "weekly on wed at "+tc.at, tc.second), facts(tc.machines), 2)
		if a.OK != tc.ok || slices.Contains(a.Overlapping, "one") != tc.beside || !tc.ok && !slices.Contains(a.Conflicts, "one") {
			t.Errorf("%+v: %+v", tc, a)
		}
	}
}

// TestRefusalNamesWhatIsInTheWay: what can't be kept is refused by the name of what
// is in the way.
func TestRefusalNamesWhatIsInTheWay(t *testing.T) {
	c := NewCalendar()
	_ = c.PutWindow(record.Window{Spec: record.WindowSpec{Name: "all", When: "daily at 03:50", LengthS: 1200}}, 1, noon)
	_ = c.PutWindow(record.Window{Spec: record.WindowSpec{Name: "zone-a", When: "daily at 12:00", LengthS: 600, Zone: "a"}}, 1, noon)
	if a := c.DecideReservation(spec("one", "daily at 04:00", 1), facts(9), noon); a.OK || !slices.Contains(a.Conflicts, "all") {
		t.Errorf("beside a window of the whole site: %+v", a)
	}
	if a := c.DecideReservation(spec("one", "daily at 12:05", 1), facts(9), noon); !a.OK {
		t.Errorf("beside a window of the other zone: %+v", a)
	}
	in := spec("one", "daily at 12:05", 1)
	if in.Zone = "a"; c.DecideReservation(in, facts(9), noon).OK {
		t.Error("in a zone under maintenance")
	}
	// Of four machines each zone has two: a zone that is closed takes them with
	// it, and what needs one zone finds no more in any.
	if a := c.DecideReservation(spec("one", "daily at 12:05", 5), facts(4), noon); a.OK || !slices.Contains(a.Conflicts, "zone-a") {
		t.Errorf("more than the zone that is left has: %+v", a)
	}
	whole := spec("one", "daily at 06:00", 5)
	if a := c.DecideReservation(whole, facts(4), noon); !a.OK {
		t.Errorf("in both zones: %+v", a)
	}
	if whole.OneZone = true; c.DecideReservation(whole, facts(4), noon).OK {
		t.Error("in one zone, which has not as many")
	}
	large := spec("one", "daily at 06:00", 1)
	if large.CPUs = 9; c.DecideReservation(large, facts(0), noon).OK {
		t.Error("larger than any machine")
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
		t.Errorf("a window over what is promised: %+v", a)
	}
	if a := c.DecideWindow(&record.WindowSpec{Name: "new", When: "daily at 06:00", LengthS: 60, Zone: "b"}, facts(0), noon); !a.OK {
		t.Errorf("a window that leaves room: %+v", a)
	}
}
