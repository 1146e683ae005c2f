package reservation

import (
	"fmt"
	"testing"
	"time"

	"damsonkeel/internal/record"

	"pgregory.net/rapid"
)

// TestOverlappingMatchesLinearScan checks that the index finds the same occurrences as a
// scan of all entries, while entries are added, changed and dropped.
func TestOverlappingMatchesLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewCalendar()
		all := map[Name]Occurrence{}
		for i := range rapid.IntRange(1, 40).Draw(t, "entries") {
			n := Name(fmt.Sprint("r", rapid.IntRange(0, 15).Draw(t, "name")))
			if rapid.IntRange(0, 4).Draw(t, "drop") == 0 {
				c.DropEntry(false, n)
				delete(all, n)
				continue
			}
			start := After(noon, time.Duration(rapid.IntRange(0, 5000).Draw(t, "start"))*time.Minute)
			start -= start % 60_000
			s := spec(string(n), time.UnixMilli(int64(start)).UTC().Format("2006-01-02 at 15:04"), 1)
			s.HoldS, s.LengthS = 60, float64(rapid.IntRange(60, 100_000).Draw(t, "length"))
			if err := c.PutReservation(record.Reservation{Spec: *s, State: record.Accepted, StartMS: start, Order: uint64(i + 1)}, 1, noon); err != nil {
				t.Fatal(err)
			}
			all[n] = Occurrence{Name: n, Start: start, End: After(start, MaxOccurrenceDuration(s))}
		}
		from := After(noon, time.Duration(rapid.IntRange(-100, 6000).Draw(t, "from"))*time.Minute)
		to := After(from, time.Duration(rapid.IntRange(1, 600).Draw(t, "to"))*time.Minute)
		want := map[Name]bool{}
		for n, o := range all {
			if o.Start < to && o.End > from {
				want[n] = true
			}
		}
		got := c.Overlapping(from, to)
		for _, o := range got {
			if !want[o.Name] || all[o.Name] != o {
				t.Fatalf("%+v does not overlap", o)
			}
		}
		if len(got) != len(want) {
			t.Fatalf("%d found, %d overlap", len(got), len(want))
		}
	})
}

// TestCancelledEntryIsNotIndexedAgain guards against ExtendIndex indexing cancelled entries. A
// cancelled recurring reservation was indexed a day later with its occurrences from 1970 on,
// and conflicted with every request after that.
func TestCancelledEntryIsNotIndexedAgain(t *testing.T) {
	c := NewCalendar()
	r := record.Reservation{Spec: *spec("one", "daily at 04:00", 1), State: record.Cancelled, Order: 1}
	w := record.Window{Spec: record.WindowSpec{Name: "w", When: "daily at 04:00", LengthS: 60}, Cancelled: true}
	if c.PutReservation(r, 1, noon) != nil || c.PutWindow(w, 1, noon) != nil {
		t.Fatal("entry not added to the calendar")
	}
	for day := range 3 {
		for range 3 {
			c.ExtendIndex(After(noon, time.Duration(day)*25*time.Hour))
		}
	}
	if c.index.size != 0 {
		t.Errorf("%d occurrences indexed", c.index.size)
	}
}

// TestThousandRecurringReservationsAreIndexedInBatches checks that a year's occurrences of a
// thousand recurring reservations are indexed over many calls of ExtendIndex, and that a search
// returns only those that overlap, as its cost depends on what it finds.
func TestThousandRecurringReservationsAreIndexedInBatches(t *testing.T) {
	c := NewCalendar()
	for i := range 1000 {
		s := spec(fmt.Sprintf("r%04d", i), fmt.Sprintf("daily at %02d:%02d", i%24, i/24%60), 1)
		s.HoldS, s.LengthS = 60, 60
		if err := c.PutReservation(record.Reservation{Spec: *s, State: record.Accepted, Order: uint64(i)}, 1, noon); err != nil {
			t.Fatal(err)
		}
	}
	steps := 0
	for ; !c.IndexComplete(); steps++ {
		c.ExtendIndex(noon)
	}
	if steps < 1000/maxEntriesPerExtension/2 || c.index.size < 360_000 {
		t.Fatalf("%d occurrences indexed in %d steps", c.index.size, steps)
	}
	midnight := parseTime("2026-06-01T00:00:00Z")
	if n := len(c.Overlapping(midnight, After(midnight, time.Minute))); n == 0 || n > 5 {
		t.Errorf("%d occurrences overlap one minute", n)
	}
	if a := c.DecideReservation(spec("one", "daily at 04:30", 2), facts(0), noon); !a.OK || len(a.Overlapping) == 0 {
		t.Errorf("decision beside a thousand reservations: %+v", a)
	}
}
