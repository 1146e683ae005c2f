package reservation

import (
	"fmt"
	"strings"
	"time"
	_ "time/tzdata" // a controller's machine may have no time zones of its own

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/teambition/rrule-go"
)

const (
	// maxScheduleLength bounds the length of a text that is parsed.
	maxScheduleLength = 200
	// weekdayLetters is how many letters of a day of the week are read.
	weekdayLetters = 3
)

// ScheduleError says what is wrong with the text of a time.
type ScheduleError struct {
	Text    string
	Problem string
}

// Error quotes the text and says what is wrong.
func (e *ScheduleError) Error() string { return fmt.Sprintf("time %q: %s", e.Text, e.Problem) }

// scheduleText is the grammar of a time.
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

// ParseSchedule parses a time; its errors say what could not be read.
func ParseSchedule(text string) (Schedule, error) {
	if len(text) > maxScheduleLength {
		return Schedule{}, invalidField("time", "longer than %d characters", maxScheduleLength)
	}
	parsed, err := scheduleParser.ParseString("", text)
	if err != nil {
		return Schedule{}, fmt.Errorf("time %q: %w", text, err)
	}
	w, problem := parsed.when()
	if problem != "" {
		return Schedule{}, &ScheduleError{Text: text, Problem: problem}
	}
	return w, nil
}

// when converts the parts of a text, or says which of them is wrong.
func (t *scheduleText) when() (w Schedule, problem string) {
	w.daily = t.Daily
	if w.weekdays, problem = t.weekdays(); problem != "" {
		return w, problem
	}
	if w.zone, problem = t.location(); problem != "" {
		return w, problem
	}
	if w.clock, problem = t.timeOfDay(); problem != "" {
		return w, problem
	}
	if w.date, problem = parseDate(t.Date); problem != "" {
		return w, problem
	}
	if w.from, problem = parseDate(t.From); problem != "" {
		return w, problem
	}
	if w.until, problem = parseDate(t.Until); problem != "" {
		return w, problem
	}
	if !w.Recurs() && (t.From != "" || t.Until != "") {
		return w, `a date has no "from" and "until"`
	}
	return w, ""
}

func (t *scheduleText) weekdays() (weekdays []rrule.Weekday, problem string) {
	for _, name := range t.Days {
		weekday, ok := weekdayNames[strings.ToLower(name)[:min(weekdayLetters, len(name))]]
		if !ok {
			return nil, fmt.Sprintf("%q is no day of the week", name)
		}
		weekdays = append(weekdays, weekday)
	}
	return weekdays, ""
}

func (t *scheduleText) location() (zone *time.Location, problem string) {
	if t.Zone == "" {
		return time.UTC, ""
	}
	zone, err := time.LoadLocation(t.Zone)
	if err != nil || t.Zone == "Local" {
		return nil, fmt.Sprintf("%q is no time zone", t.Zone)
	}
	return zone, ""
}

func (t *scheduleText) timeOfDay() (clock time.Duration, problem string) {
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

// parseDate parses a date; an empty one is the zero time.
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
