package reservation

import (
	"fmt"
	"regexp"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,59}$`)

const (
	// maxLength is the maximum length of a reservation's job or of a window, and the longest
	// time for which resources are held for a job that has not started.
	maxLength = 7 * day
	// minHold is the shortest time for which resources may be held for a job that has not
	// started.
	minHold = time.Minute
	// minLength is the minimum length of a reservation's job or of a window.
	minLength = time.Second
	// maxTasks is the maximum number of tasks of a reservation.
	maxTasks = 10_000
	// maxListItems is the maximum number of machines or of types that an entry names.
	maxListItems = 200
)

// FieldError describes what is wrong with a field of a reservation or a window.
type FieldError struct {
	Field   string
	Problem string
}

// Error returns a message that names the field and describes the problem.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

func invalidField(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// CheckReservation checks the fields of a requested reservation, as far as that depends neither
// on the site nor on other entries: its name, time, job or class, tasks and durations. An
// error names the first invalid field.
func CheckReservation(s *record.ReservationSpec) error {
	if err := checkName(s.Name); err != nil {
		return err
	}
	schedule, err := ParseSchedule(s.When)
	if err != nil {
		return err
	}
	if err := checkTarget(s, schedule); err != nil {
		return err
	}
	if err := checkTasks(s); err != nil {
		return err
	}
	if s.Job != "" {
		if _, err := protocol.ParseJobID(string(s.Job)); err != nil {
			return fmt.Errorf("job: %w", err)
		}
	}
	if err := checkSeconds("hold", s.HoldS, minHold); err != nil {
		return err
	}
	return checkSeconds("length", s.LengthS, minLength)
}

// CheckWindow checks the fields of a requested window, as far as that depends neither on the
// site nor on other entries: its name, time, machines and length. An error names the first
// invalid field.
func CheckWindow(s *record.WindowSpec) error {
	if err := checkName(s.Name); err != nil {
		return err
	}
	if _, err := ParseSchedule(s.When); err != nil {
		return err
	}
	if len(s.Machines) > maxListItems {
		return invalidField("machines", "more than %d", maxListItems)
	}
	if len(s.Machines) > 0 && (s.Type != "" || s.Zone != "") {
		return invalidField("machines", "named beside a type or a zone")
	}
	return checkSeconds("length", s.LengthS, minLength)
}

func checkName(name Name) error {
	if !validName.MatchString(string(name)) {
		return invalidField("name", "%q is not of 1 to 60 lower-case letters, digits, dots and dashes", name)
	}
	return nil
}

// checkTarget checks that a reservation is for either one job or one class of jobs, and that
// one for a job does not recur.
func checkTarget(s *record.ReservationSpec, schedule Schedule) error {
	if (s.Job == "") == (s.Class == "") {
		return invalidField("job, class", "one of the two is needed")
	}
	if s.Job != "" && schedule.Recurs() {
		return invalidField("job", "a job runs once, so a recurring time needs a class")
	}
	return nil
}

// checkTasks checks the number, size and kind of the tasks of a reservation.
func checkTasks(s *record.ReservationSpec) error {
	switch {
	case s.Tasks < 1 || s.Tasks > maxTasks:
		return invalidField("tasks", "%d is not from 1 to %d", s.Tasks, maxTasks)
	case !(s.CPUs >= 0) || !(s.GPUs >= 0) || !(s.MemoryGB >= 0) || s.CPUs+s.GPUs+s.MemoryGB <= 0:
		return invalidField("cpus, gpus, memory_gb", "no task takes nothing or less")
	case len(s.Types) > maxListItems:
		return invalidField("types", "more than %d", maxListItems)
	case !s.Priority.Known():
		return invalidField("priority", "%q is none", s.Priority)
	}
	return nil
}

// checkSeconds checks that a duration in seconds is between a minimum and maxLength. The
// condition is written so that it refuses NaN, too.
func checkSeconds(field string, seconds float64, minimum time.Duration) error {
	if !(seconds >= minimum.Seconds()) || seconds > maxLength.Seconds() {
		return invalidField(field, "%v is not from %v to %v", seconds, minimum, maxLength)
	}
	return nil
}
