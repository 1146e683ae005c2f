package reservation

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,59}$`)

const (
	// lengthMost bounds how long a reservation or a window lasts.
	lengthMost = 7 * 24 * time.Hour
	// tasksMost bounds the tasks of a reservation.
	tasksMost = 10_000
	// listMost bounds the machines or types that are named.
	listMost = 200
)

// seconds checks a length of time.
func seconds(field string, s float64, least time.Duration) error {
	if !(s >= least.Seconds()) || s > lengthMost.Seconds() {
		return fmt.Errorf("%s: %v is not from %v to %v", field, s, least, lengthMost)
	}
	return nil
}

// CheckReservation checks what does not depend on anything else; its errors
// name the field.
func CheckReservation(s *record.ReservationSpec) error {
	w, err := ParseWhen(s.When)
	switch {
	case !nameForm.MatchString(string(s.Name)):
		return fmt.Errorf("name: %q is not of 1 to 60 lower-case letters, digits, dots and dashes", s.Name)
	case err != nil:
		return err
	case (s.Job == "") == (s.Class == ""):
		return fmt.Errorf("job, class: one of the two is needed")
	case s.Job != "" && w.Recurs():
		return fmt.Errorf("job: a job runs once, so a recurring time needs a class")
	case s.Tasks < 1 || s.Tasks > tasksMost:
		return fmt.Errorf("tasks: %d is not from 1 to %d", s.Tasks, tasksMost)
	case !(s.CPUs >= 0) || !(s.GPUs >= 0) || !(s.MemoryGB >= 0) || s.CPUs+s.GPUs+s.MemoryGB <= 0:
		return fmt.Errorf("cpus, gpus, memory_gb: no task takes nothing or less")
	case len(s.Types) > listMost:
		return fmt.Errorf("types: more than %d", listMost)
	case !s.Priority.Known():
		return fmt.Errorf("priority: %q is none", s.Priority)
	}
	if s.Job != "" {
		if _, err := protocol.ParseJobID(string(s.Job)); err != nil {
			return fmt.Errorf("job: %w", err)
		}
	}
	if err := seconds("hold", s.HoldS, time.Minute); err != nil {
		return err
	}
	return seconds("length", s.LengthS, time.Second)
}

// CheckWindow checks what does not depend on anything else.
func CheckWindow(s *record.WindowSpec) error {
	switch _, err := ParseWhen(s.When); {
	case !nameForm.MatchString(string(s.Name)):
		return fmt.Errorf("name: %q is not of 1 to 60 lower-case letters, digits, dots and dashes", s.Name)
	case err != nil:
		return err
	case len(s.Machines) > listMost:
		return fmt.Errorf("machines: more than %d", listMost)
	case len(s.Machines) > 0 && (s.Type != "" || s.Zone != ""):
		return fmt.Errorf("machines: named beside a type or a zone")
	}
	return seconds("length", s.LengthS, time.Second)
}

// Matches reports whether a job is one that a reservation's present occurrence
// is for. One of its class may come a little earlier.
func Matches(r *record.Reservation, j *protocol.Job) bool {
	if r.Spec.Job != "" {
		return r.Spec.Job == j.ID && (r.Spec.Team == "" || r.Spec.Team == j.Team)
	}
	submitted := Moment(j.SubmittedMS)
	return r.Spec.Class == j.Class && (r.Spec.Team == "" || r.Spec.Team == j.Team) &&
		submitted >= After(r.StartMS, -earliest) && submitted < afterS(r.StartMS, r.Spec.HoldS)
}

// earliest is how long before the time a job of a reservation's class counts as
// the one it is for.
const earliest = 30 * time.Minute

// Size is what each task of a reservation takes.
func Size(s *record.ReservationSpec) resource.Amount {
	return resource.Amount{CPUs: s.CPUs, GPUs: s.GPUs, GB: s.MemoryGB}
}

// Fits reports whether a task of a reservation fits an ordinary machine of a type
// in a zone that it allows.
func Fits(s *record.ReservationSpec, t protocol.TypeInfo, z protocol.Zone) bool {
	return Allows(s, t, z, false) && resource.Capacity(t).Covers(Size(s))
}

// Allows reports whether a reservation may hold room on a kind of machine.
func Allows(s *record.ReservationSpec, t protocol.TypeInfo, z protocol.Zone, spot bool) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, t.Name)) && (s.Zone == "" || s.Zone == z) && (s.Spot || !spot)
}
