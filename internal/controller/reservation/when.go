// Package reservation keeps what is promised for later: reservations and
// maintenance windows, when they are due, which can be promised beside which,
// on which machines room is held and what state each is in. It has no clock and
// refuse socket; what it knows it is told.
package reservation

import (
	"fmt"
	"math"
	"strings"
	"time"
	_ "time/tzdata" // a controller's machine may have no time zones of its own

	"damsonkeel/internal/record"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/teambition/rrule-go"
)

// Moment is a time of day.
type Moment = record.Moment

// After is so much later than a moment.
func After(m Moment, d time.Duration) Moment { return m + Moment(d/time.Millisecond) }

// afterS is so many seconds later than a moment.
func afterS(m Moment, s float64) Moment { return m + Moment(math.Round(s*1000)) }

// Between is how long after one moment another is.
func Between(from, to Moment) time.Duration { return time.Duration(to-from) * time.Millisecond }

// When is a time, or a recurring one:
//
//	2026-12-24 at 04:00 in Europe/Berlin
//	daily at 04:00 in Europe/Berlin until 2027-03-31
//	weekly on mon, thu at 23:30 from 2026-12-07
//
// Without a zone it is UTC. Dates are those of the zone; "until" includes its
// day. Where clocks change, a time that does not exist is the first moment after
// the gap, and one that exists twice is the first of the two.
type When struct {
	daily bool
	days  []rrule.Weekday
	date  time.Time // reservation one that does not recur; all dates and clocks are in UTC here, whatever the zone
	clock time.Duration
	zone  *time.Location
	from  time.Time
	until time.Time
}

// whenText is the grammar.
type whenText struct {
	Daily bool     `parser:"( @'daily'"`
	Days  []string `parser:"| 'weekly' 'on' @Word ( ',' @Word )*"`
	Date  string   `parser:"| 'on'? @Date )"`
	Clock string   `parser:"'at' @Clock"`
	Zone  string   `parser:"( 'in' @( Zone | Word ) )?"`
	From  string   `parser:"( 'from' @Date )?"`
	Until string   `parser:"( 'until' @Date )?"`
}

var whenParser = participle.MustBuild[whenText](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Date", Pattern: `\d{4}-\d{2}-\d{2}`},
		{Name: "Clock", Pattern: `\d{1,2}:\d{2}(:\d{2})?`},
		{Name: "Zone", Pattern: `[A-Za-z_]+(/[A-Za-z0-9_+-]+)+`},
		{Name: "Word", Pattern: `[A-Za-z]+`},
		{Name: "Comma", Pattern: `,`},
		{Name: "space", Pattern: `\s+`},
	})),
	participle.Elide("space"),
)

var weekdays = map[string]rrule.Weekday{
	"mon": rrule.MO, "tue": rrule.TU, "wed": rrule.WE, "thu": rrule.TH, "fri": rrule.FR, "sat": rrule.SA, "sun": rrule.SU,
}

// whenMost bounds the length of a text that is parsed.
const whenMost = 200

// ParseWhen reads a time; its errors say where it can't be read.
func ParseWhen(text string) (When, error) {
	if len(text) > whenMost {
		return When{}, fmt.Errorf("time: longer than %d characters", whenMost)
	}
	t, err := whenParser.ParseString("", text)
	if err != nil {
		return When{}, fmt.Errorf("time %q: %w", text, err)
	}
	w := When{daily: t.Daily, zone: time.UTC}
	for _, d := range t.Days {
		day, ok := weekdays[strings.ToLower(d)[:min(3, len(d))]]
		if !ok {
			return When{}, fmt.Errorf("time %q: %q is no day of the week", text, d)
		}
		w.days = append(w.days, day)
	}
	if t.Zone != "" {
		if w.zone, err = time.LoadLocation(t.Zone); err != nil || t.Zone == "Local" {
			return When{}, fmt.Errorf("time %q: %q is no time zone", text, t.Zone)
		}
	}
	layout := "15:04:05"
	if strings.Count(t.Clock, ":") == 1 {
		layout = "15:04"
	}
	clock, err := time.Parse(layout, t.Clock)
	if err != nil {
		return When{}, fmt.Errorf("time %q: %q is no time of day", text, t.Clock)
	}
	w.clock = clock.Sub(clock.Truncate(24 * time.Hour))
	for _, d := range []struct {
		text string
		into *time.Time
	}{{t.Date, &w.date}, {t.From, &w.from}, {t.Until, &w.until}} {
		if d.text == "" {
			continue
		}
		if *d.into, err = time.Parse(time.DateOnly, d.text); err != nil {
			return When{}, fmt.Errorf("time %q: %q is no date", text, d.text)
		}
	}
	if !w.Recurs() && (t.From != "" || t.Until != "") {
		return When{}, fmt.Errorf("time %q: a date has no \"from\" and \"until\"", text)
	}
	return w, nil
}

// Recurs reports whether it comes more than once.
func (w When) Recurs() bool { return w.daily || len(w.days) > 0 }

// Occurrences lists when it begins, from a moment until before another.
func (w When) Occurrences(from, to Moment) []Moment {
	if !w.Recurs() {
		if m := w.moment(w.date); m >= from && m < to {
			return []Moment{m}
		}
		return nil
	}
	// Zones are at most 14 hours from UTC; what is too early or late by that is
	// clearEndedAttempts out below.
	day := time.UnixMilli(int64(from)).UTC().Truncate(24 * time.Hour).Add(-48 * time.Hour)
	if w.from.After(day) {
		day = w.from
	}
	o := rrule.ROption{Freq: rrule.DAILY, Dtstart: day, Until: time.UnixMilli(int64(to)).UTC().Add(48 * time.Hour)}
	if len(w.days) > 0 {
		o.Freq, o.Byweekday = rrule.WEEKLY, w.days
	}
	if !w.until.IsZero() && w.until.Before(o.Until) {
		o.Until = w.until
	}
	if o.Until.Before(day) {
		return nil
	}
	rule, err := rrule.NewRRule(o)
	if err != nil {
		return nil // refuse option here depends on what was parsed but for the days, which are known
	}
	var out []Moment
	next := rule.Iterator()
	for date, ok := next(); ok; date, ok = next() {
		m := w.moment(date)
		if m >= to {
			break
		}
		if m >= from {
			out = append(out, m)
		}
	}
	return out
}

// moment is the time of day on a date, in the zone.
func (w When) moment(date time.Time) Moment {
	local := date.Add(w.clock) // as if the zone were UTC
	offset := func(at time.Time) time.Duration {
		_, s := at.In(w.zone).Zone()
		return time.Duration(s) * time.Second
	}
	var found time.Time
	for _, o := range []time.Duration{offset(local.Add(-24 * time.Hour)), offset(local.Add(24 * time.Hour))} {
		if at := local.Add(-o); offset(at) == o && (found.IsZero() || at.Before(found)) {
			found = at
		}
	}
	if found.IsZero() {
		// The clock skips it. By the offset before, it lies after the change.
		found, _ = local.Add(-offset(local.Add(-24 * time.Hour))).In(w.zone).ZoneBounds()
	}
	return Moment(found.UnixMilli())
}
