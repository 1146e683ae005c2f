package simulator

import (
	"fmt"
	"os"

	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
)

// LoadSite reads and validates a site file.
func LoadSite(path string) (*Site, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	return ParseSite(b)
}

// ParseSite decodes and validates a site. Missing times get defaults: heartbeats every 10 s,
// worker leases of 45 s, steps of 1000 ms. Its errors name the field.
func ParseSite(b []byte) (*Site, error) {
	s := &Site{ReportS: 10, LeaseS: 45, StepMS: 1000}
	if err := config.DecodeStrict(b, s); err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	return s, nil
}

// FieldError reports that a field of a site is invalid.
type FieldError struct {
	Field   string
	Problem string
}

// Error returns the field and the problem.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// invalid returns a FieldError for an invalid field.
func invalid(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Bounds of the number of machines and of the milliseconds between steps.
const (
	maxMachines = 20_000
	minStepMS   = 10
	maxStepMS   = 1000
)

// validate returns an error that names the first invalid field.
func (s *Site) validate() error {
	switch {
	case s.Start.IsZero():
		return invalid("start", "missing")
	case s.Machines < 1 || s.Machines > maxMachines:
		return invalid("machines", "%d is not from 1 to %d", s.Machines, maxMachines)
	case len(s.Types) == 0 || len(s.Teams) == 0:
		return invalid("types, teams", "one of each is needed")
	case !(s.ReportS > 0) || !(s.LeaseS > s.ReportS):
		return invalid("report_s, lease_s", "not above 0, or a lease no longer than a report period")
	case !(s.CommandCopies >= 0 && s.CommandCopies <= 1):
		return invalid("command_copies", "%v is not from 0 to 1", s.CommandCopies)
	case s.StepMS < minStepMS || s.StepMS > maxStepMS:
		return invalid("step_ms", "%d is not from %d to %d", s.StepMS, minStepMS, maxStepMS)
	}
	return s.validateEntries()
}

// validateEntries validates the machine types, the load and the reservations: required fields
// are set, teams exist, and amounts of the load are positive.
func (s *Site) validateEntries() error {
	teams := map[protocol.Team]bool{}
	for _, t := range s.Teams {
		teams[t.Name] = true
	}
	for _, t := range s.Types {
		if !t.isValid() {
			return invalid("types", "%q lacks a name, processors, memory, a boot time or zones", t.Name)
		}
	}
	for _, l := range s.Load {
		if !teams[l.Team] || !l.isValid() {
			return invalid("load", "%q: a team or a priority that is not there, or an amount not above 0", l.Class)
		}
	}
	for _, r := range s.Reservations {
		if !teams[r.Team] || r.Class == "" {
			return invalid("reservations", "%q: a team that is not there, or no class", r.Name)
		}
	}
	return nil
}

// isValid reports whether the name, processors, memory, boot time and zones of a machine type
// are set.
func (t *Type) isValid() bool {
	return t.Name != "" && t.CPUs > 0 && t.MemoryGB > 0 && t.BootS > 0 && len(t.Zones) > 0
}

// isValid reports whether the priority of a load is one of the defined ones, and its interval,
// tasks, estimate and run time factor are positive.
func (l *Load) isValid() bool {
	return l.Priority.Known() && l.EveryS > 0 && l.Tasks >= 1 && l.EstimateS > 0 && l.RunTimeFactor > 0
}
