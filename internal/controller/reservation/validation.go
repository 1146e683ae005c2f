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
	// maxLength bounds how long a reservation or a window lasts.
	maxLength = 7 * day
	// minHold is the least time for which resources are held for a job.
	minHold = time.Minute
	// minLength is the least length of a reservation or a window.
	minLength = time.Second
	// maxTasks bounds the tasks of a reservation.
	maxTasks = 10_000
	// maxListed bounds the machines or types that are named.
	maxListed = 200
)

// FieldError says what is wrong with a field of a reservation or a window.
type FieldError struct {
	Field   string
	Problem string
}

// Error names the field and says what is wrong.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

func invalidField(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// CheckReservation checks what does not depend on anything else; its errors
// name the field.
func CheckReservation(s *record.ReservationSpec) error {
	if err := checkName(s.Name); err != nil {
		return err
	}
	w, err := ParseSchedule(s.When)
	if err != nil {
		return err
	}
	if err := checkTarget(s, w); err != nil {
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

// CheckWindow checks what does not depend on anything else; its errors name the field.
func CheckWindow(s *record.WindowSpec) error {
	if err := checkName(s.Name); err != nil {
		return err
	}
	if _, err := ParseSchedule(s.When); err != nil {
		return err
	}
	if len(s.Machines) > maxListed {
		return invalidField("machines", "more than %d", maxListed)
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

// checkTarget checks that a reservation is for one job or for one class of jobs.
func checkTarget(s *record.ReservationSpec, w Schedule) error {
	if (s.Job == "") == (s.Class == "") {
		return invalidField("job, class", "one of the two is needed")
	}
	if s.Job != "" && w.Recurs() {
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
	case len(s.Types) > maxListed:
		return invalidField("types", "more than %d", maxListed)
	case !s.Priority.Known():
		return invalidField("priority", "%q is none", s.Priority)
	}
	return nil
}

// checkSeconds checks a length of time. NaN is refused, too.
func checkSeconds(field string, s float64, least time.Duration) error {
	if !(s >= least.Seconds()) || s > maxLength.Seconds() {
		return invalidField(field, "%v is not from %v to %v", s, least, maxLength)
	}
	return nil
}
