package reservation

import (
	"fmt"
	"strings"
	"time"
	_ "time/tzdata" // a controller's machine may have no time zone database

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/teambition/rrule-go"
)

const (
	// maxScheduleLength is the maximum length of the text of a schedule, in bytes.
	maxScheduleLength = 200
	// weekdayLetters is the number of first letters by which a day of the week is recognised;
	// the others are ignored.
	weekdayLetters = 3
)

// ScheduleError describes what is wrong with the text of a schedule.
type ScheduleError struct {
	Text    string
	Problem string
}

// Error returns a message that quotes the text and describes the problem.
func (e *ScheduleError) Error() string { return fmt.Sprintf("time %q: %s", e.Text, e.Problem) }

// scheduleText is the grammar and the syntax tree of a schedule.
type scheduleText struct {
	Daily bool     `parser:"( @'daily'"`
	Days  []string `parser:"| 'weekly' 'on' @Word ( ',' @Word )*"`
	Date  string   `parser:"| 'on'? @Date )"`
	Clock string   `parser:"'at' @Clock"`
	Zone  string   `parser:"( 'in' @( Zone | Word ) )?"`
	From  string   `parser:"( 'from' @Date )?"`
	Until string   `parser:"( 'until' @Date )?"`
}

var scheduleParser = participle.MustBuild[scheduleText](
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

var weekdayNames = map[string]rrule.Weekday{
	"mon": rrule.MO, "tue": rrule.TU, "wed": rrule.WE, "thu": rrule.TH, "fri": rrule.FR, "sat": rrule.SA, "sun": rrule.SU,
}

// ParseSchedule parses the text of a schedule, in the form shown at Schedule. Its errors quote
// the text, unless it is too long, and describe what could not be parsed.
func ParseSchedule(text string) (Schedule, error) {
	if len(text) > maxScheduleLength {
		return Schedule{}, invalidField("time", "longer than %d characters", maxScheduleLength)
	}
	parsed, err := scheduleParser.ParseString("", text)
	if err != nil {
		return Schedule{}, fmt.Errorf("time %q: %w", text, err)
	}
	schedule, problem := parsed.toSchedule()
	if problem != "" {
		return Schedule{}, &ScheduleError{Text: text, Problem: problem}
	}
	return schedule, nil
}

// toSchedule converts the syntax tree to a schedule, or describes the part that is invalid.
func (t *scheduleText) toSchedule() (s Schedule, problem string) {
	s.daily = t.Daily
	if s.weekdays, problem = t.parseWeekdays(); problem != "" {
		return s, problem
	}
	if s.zone, problem = t.parseLocation(); problem != "" {
		return s, problem
	}
	if s.clock, problem = t.parseClock(); problem != "" {
		return s, problem
	}
	if s.date, problem = parseDate(t.Date); problem != "" {
		return s, problem
	}
	if s.from, problem = parseDate(t.From); problem != "" {
		return s, problem
	}
	if s.until, problem = parseDate(t.Until); problem != "" {
		return s, problem
	}
	if !s.Recurs() && (t.From != "" || t.Until != "") {
		return s, `a date has no "from" and "until"`
	}
	return s, ""
}

func (t *scheduleText) parseWeekdays() (weekdays []rrule.Weekday, problem string) {
	for _, name := range t.Days {
		weekday, ok := weekdayNames[strings.ToLower(name)[:min(weekdayLetters, len(name))]]
		if !ok {
			return nil, fmt.Sprintf("%q is no day of the week", name)
		}
		weekdays = append(weekdays, weekday)
	}
	return weekdays, ""
}

func (t *scheduleText) parseLocation() (zone *time.Location, problem string) {
	if t.Zone == "" {
		return time.UTC, ""
	}
	zone, err := time.LoadLocation(t.Zone)
	if err != nil || t.Zone == "Local" {
		return nil, fmt.Sprintf("%q is no time zone", t.Zone)
	}
	return zone, ""
}

func (t *scheduleText) parseClock() (clock time.Duration, problem string) {
	layout := time.TimeOnly
	if strings.Count(t.Clock, ":") == 1 {
		layout = "15:04"
	}
	parsed, err := time.Parse(layout, t.Clock)
	if err != nil {
		return 0, fmt.Sprintf("%q is no time of day", t.Clock)
	}
	return parsed.Sub(parsed.Truncate(day)), ""
}

// parseDate parses a date. It returns the zero time for an empty text.
func parseDate(text string) (date time.Time, problem string) {
	if text == "" {
		return time.Time{}, ""
	}
	date, err := time.Parse(time.DateOnly, text)
	if err != nil {
		return time.Time{}, fmt.Sprintf("%q is no date", text)
	}
	return date, ""
}
