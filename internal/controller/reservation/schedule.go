package reservation

import (
	"time"

	"github.com/teambition/rrule-go"
)

const (
	day = 24 * time.Hour
	// zoneMargin is more than any time zone differs from UTC, which is 14 hours.
	zoneMargin = 2 * day
)

// Schedule is a time, or a recurring one:
//
//	2026-12-24 at 04:00 in Europe/Berlin
//	daily at 04:00 in Europe/Berlin until 2027-03-31
//	weekly on mon, thu at 23:30 from 2026-12-07
//
// Without a zone it is UTC. Dates are those of the zone; "until" includes its
// day. Where clocks change, a time that does not exist is the first moment after
// the gap, and one that exists twice is the first of the two.
type Schedule struct {
	daily    bool
	weekdays []rrule.Weekday
	date     time.Time // of one that does not recur; dates and clock are kept in UTC, whatever the zone
	clock    time.Duration
	zone     *time.Location
	from     time.Time
	until    time.Time
}

// Recurs reports whether it comes more than once.
func (w Schedule) Recurs() bool { return w.daily || len(w.weekdays) > 0 }

// Occurrences lists when it begins, from a moment until before another.
func (w Schedule) Occurrences(from, to Moment) []Moment {
	if !w.Recurs() {
		if m := w.moment(w.date); m >= from && m < to {
			return []Moment{m}
		}
		return nil
	}
	rule := w.rule(from, to)
	if rule == nil {
		return nil
	}
	var occurrences []Moment
	next := rule.Iterator()
	for date, ok := next(); ok; date, ok = next() {
		m := w.moment(date)
		if m >= to {
			break
		}
		if m >= from {
			occurrences = append(occurrences, m)
		}
	}
	return occurrences
}

// rule lists the dates of a recurring time from a moment until before another, with a
// margin for the zone on both sides; nil: there are none.
func (w Schedule) rule(from, to Moment) *rrule.RRule {
	start := time.UnixMilli(int64(from)).UTC().Truncate(day).Add(-zoneMargin)
	if w.from.After(start) {
		start = w.from
	}
	end := time.UnixMilli(int64(to)).UTC().Add(zoneMargin)
	if !w.until.IsZero() && w.until.Before(end) {
		end = w.until
	}
	if end.Before(start) {
		return nil
	}
	options := rrule.ROption{Freq: rrule.DAILY, Dtstart: start, Until: end}
	if len(w.weekdays) > 0 {
		options.Freq, options.Byweekday = rrule.WEEKLY, w.weekdays
	}
	rule, err := rrule.NewRRule(options)
	if err != nil {
		return nil // can't happen: no option but the weekdays depends on the text, and those are known
	}
	return rule
}

// moment is the time of day on a date, in the zone.
func (w Schedule) moment(date time.Time) Moment {
	local := date.Add(w.clock) // as if the zone were UTC
	offset := func(at time.Time) time.Duration {
		_, s := at.In(w.zone).Zone()
		return time.Duration(s) * time.Second
	}
	before, after := offset(local.Add(-day)), offset(local.Add(day))
	var found time.Time
	for _, o := range []time.Duration{before, after} {
		if at := local.Add(-o); offset(at) == o && (found.IsZero() || at.Before(found)) {
			found = at
		}
	}
	if found.IsZero() {
		// The clock skips it. By the offset before, it lies after the change.
		found, _ = local.Add(-before).In(w.zone).ZoneBounds()
	}
	return Moment(found.UnixMilli())
}
