package reservation

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// parseTime returns the moment of a time in RFC 3339 format.
func parseTime(text string) Moment {
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		panic(err) // only called with constants of tests
	}
	return Moment(t.UnixMilli())
}

// TestOccurrencesAcrossClockChanges checks that a time that clocks skip stands for the first
// moment after the gap, and one that exists twice for the first of the two, so that each day
// has one occurrence.
func TestOccurrencesAcrossClockChanges(t *testing.T) {
	for _, tc := range []struct {
		when, from, want string
	}{
		{"daily at 02:30 in Europe/Berlin", "2026-03-28T12:00:00Z", "2026-03-29T01:00:00Z"}, // skipped: clocks go from 02:00 to 03:00
		{"daily at 02:30 in Europe/Berlin", "2026-10-24T12:00:00Z", "2026-10-25T00:30:00Z"}, // exists twice
		{"daily at 04:00 in Europe/Berlin", "2026-03-28T12:00:00Z", "2026-03-29T02:00:00Z"},
		{"daily at 04:00 in Europe/Berlin", "2026-03-27T12:00:00Z", "2026-03-28T03:00:00Z"},
		{"weekly on sun at 01:30 in America/New_York", "2026-10-30T00:00:00Z", "2026-11-01T05:30:00Z"},
		{"2026-12-24 at 04:00", "2026-01-01T00:00:00Z", "2026-12-24T04:00:00Z"},
		{"on 2026-12-24 at 04:00:30 in Asia/Tokyo", "2026-01-01T00:00:00Z", "2026-12-23T19:00:30Z"},
		{"weekly on mon, thu at 23:30 from 2026-12-07", "2026-12-01T00:00:00Z", "2026-12-07T23:30:00Z"},
	} {
		schedule, err := ParseSchedule(tc.when)
		if err != nil {
			t.Fatal(err)
		}
		got := schedule.Occurrences(parseTime(tc.from), After(parseTime(tc.from), Horizon))
		if len(got) == 0 || got[0] != parseTime(tc.want) {
			t.Errorf("%s from %s: %v, want %s", tc.when, tc.from, got[:min(1, len(got))], tc.want)
		}
	}
	for _, bad := range []string{"", "daily", "daily at 25:00", "daily at 04:00 in Nowhere/Else", "2026-02-30 at 04:00", "weekly on foo at 01:00", "2026-12-24 at 04:00 until 2027-01-01", "daily at 04:00 in Local"} {
		if _, err := ParseSchedule(bad); err == nil {
			t.Errorf("%q is accepted", bad)
		}
	}
}

// TestDailyTimeOccursOncePerDate checks that in every zone a daily time occurs once per date,
// in order and 22 to 26 hours apart, whichever period is requested, and that the zone's clock
// shows the given time unless clocks skip it.
func TestDailyTimeOccursOncePerDate(t *testing.T) {
	zones := []string{"UTC", "Europe/Berlin", "America/New_York", "Australia/Lord_Howe", "Asia/Kolkata", "America/St_Johns", "Pacific/Apia"}
	rapid.Check(t, func(t *rapid.T) {
		zone := rapid.SampledFrom(zones).Draw(t, "zone")
		clock := time.Duration(rapid.IntRange(0, 24*60-1).Draw(t, "clock")) * time.Minute
		text := time.Time{}.Add(clock).Format("15:04")
		schedule, err := ParseSchedule("daily at " + text + " in " + zone)
		if err != nil {
			t.Fatal(err)
		}
		from := parseTime("2026-01-01T00:00:00Z") + Moment(rapid.Int64Range(0, 700*24*3600_000).Draw(t, "from"))
		days := rapid.IntRange(1, 200).Draw(t, "days")
		got := schedule.Occurrences(from, After(from, time.Duration(days)*24*time.Hour))
		if len(got) < days-1 || len(got) > days+1 {
			t.Fatalf("%d occurrences in %d days", len(got), days)
		}
		for i, m := range got {
			if m < from {
				t.Fatal("occurrence before the requested period")
			}
			if i > 0 && (Between(got[i-1], m) < 22*time.Hour || Between(got[i-1], m) > 26*time.Hour) {
				t.Fatalf("%v after the previous occurrence", Between(got[i-1], m))
			}
			local := time.UnixMilli(int64(m)).In(schedule.zone)
			if local.Format("15:04") != text {
				if start, _ := local.ZoneBounds(); !start.Equal(time.UnixMilli(int64(m))) {
					t.Fatalf("%v without a clock change, want %s", local, text)
				}
			}
		}
		// The period in two parts has the same number of occurrences.
		if len(got) > 1 {
			mid := got[len(got)/2]
			if n := len(schedule.Occurrences(from, mid)) + len(schedule.Occurrences(mid, After(from, time.Duration(days)*24*time.Hour))); n != len(got) {
				t.Fatalf("%d occurrences in two parts, %d in the whole period", n, len(got))
			}
		}
	})
}
