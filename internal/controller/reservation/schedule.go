package reservation

import (
	"time"

	"github.com/teambition/rrule-go"
)

const (
	day = 24 * time.Hour
	// zoneMargin is more than the largest offset of a time zone from UTC, which is 14 hours.
	zoneMargin = 2 * day
)

// Schedule is the parsed time of an entry, either a single or a recurring one:
//
//	2026-12-24 at 04:00 in Europe/Berlin
//	daily at 04:00 in Europe/Berlin until 2027-03-31
//	weekly on mon, thu at 23:30 from 2026-12-07
//
// The default zone is UTC. Dates are dates in the zone, and "until" includes its day. Where
// clocks change, a time that does not exist stands for the first moment after the gap, and
// a time that exists twice for the first of the two.
type Schedule struct {
	daily    bool
	weekdays []rrule.Weekday
	date     time.Time // of a schedule that does not recur; dates and clock are stored as UTC in every zone
	clock    time.Duration
	zone     *time.Location
	from     time.Time
	until    time.Time
}

// Recurs reports whether the schedule is a recurring one.
func (s Schedule) Recurs() bool { return s.daily || len(s.weekdays) > 0 }

// Occurrences returns the starts of the occurrences from a moment until before another, in
// order of time.
func (s Schedule) Occurrences(from, to Moment) []Moment {
	if !s.Recurs() {
		if m := s.moment(s.date); m >= from && m < to {
			return []Moment{m}
		}
		return nil
	}
	rule := s.rule(from, to)
	if rule == nil {
		return nil
	}
	var occurrences []Moment
	next := rule.Iterator()
	for date, ok := next(); ok; date, ok = next() {
		m := s.moment(date)
		if m >= to {
			break
		}
		if m >= from {
			occurrences = append(occurrences, m)
		}
	}
	return occurrences
}

// rule returns the rule that yields the dates of a recurring schedule from a moment until
// before another, with a margin for the zone on both sides; nil if there are no dates.
func (s Schedule) rule(from, to Moment) *rrule.RRule {
	start := time.UnixMilli(int64(from)).UTC().Truncate(day).Add(-zoneMargin)
	if s.from.After(start) {
		start = s.from
	}
	end := time.UnixMilli(int64(to)).UTC().Add(zoneMargin)
	if !s.until.IsZero() && s.until.Before(end) {
		end = s.until
	}
	if end.Before(start) {
		return nil
	}
	options := rrule.ROption{Freq: rrule.DAILY, Dtstart: start, Until: end}
	if len(s.weekdays) > 0 {
		options.Freq, options.Byweekday = rrule.WEEKLY, s.weekdays
	}
	rule, err := rrule.NewRRule(options)
	if err != nil {
		return nil // can't happen: only the weekdays come from the parsed text, and they are valid
	}
	return rule
}

// moment returns the moment of the time of day on a date, in the zone.
func (s Schedule) moment(date time.Time) Moment {
	local := date.Add(s.clock) // as if the zone were UTC
	offset := func(at time.Time) time.Duration {
		_, seconds := at.In(s.zone).Zone()
		return time.Duration(seconds) * time.Second
	}
	before, after := offset(local.Add(-day)), offset(local.Add(day))
	var found time.Time
	for _, o := range []time.Duration{before, after} {
		if at := local.Add(-o); offset(at) == o && (found.IsZero() || at.Before(found)) {
			found = at
		}
	}
	if found.IsZero() {
		// The clock skips this time. Converted by the offset before the change, it lies
		// after the change.
		found, _ = local.Add(-before).In(s.zone).ZoneBounds()
	}
	return Moment(found.UnixMilli())
}
