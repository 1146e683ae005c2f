package protocol

import (
	"errors"
	"math"
)

// FieldError reports a field of a submission that is missing or has an invalid value.
type FieldError struct {
	Field   string // wire name of the field
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// Problems of fields that several checks report.
const (
	problemMissing = "missing"
	problemLength  = "empty or too long"
	problemRange   = "out of range"
)

// Limits of the fields of submissions.
const (
	maxTextLength = 200 // bytes of a text
	maxAmount     = 1e9 // largest value of a numeric field
	maxTypes      = 50  // number of machine types
)

var errEmptySubmission = errors.New("empty submission")

// fieldChecker converts and checks the fields of a submission. It keeps the error of the first
// field that is missing or invalid.
type fieldChecker struct{ err error }

// fail records a problem of a field, unless an earlier one is recorded.
func (c *fieldChecker) fail(field, problem string) {
	if c.err == nil {
		c.err = &FieldError{Field: field, Problem: problem}
	}
}

// convertRequired copies the fields that a submission must have to a job, and records a problem
// for each that is missing or invalid.
func (c *fieldChecker) convertRequired(s *submission, job *Job) {
	job.Class = c.text("berth", s.Class)
	job.Team = Team(c.text("crew", s.Team))
	job.Kind = Kind(c.text("rig", s.Kind))
	job.Priority = Priority(c.text("tide", s.Priority))
	job.CPUs = c.amount("cores", s.CPUs)
	job.GPUs = c.amount("gpus", s.GPUs)
	job.MemoryGB = c.amount("memory_gb", s.MemoryGB)
	job.Image = c.text("hullcast", s.Image)
	job.ImageGB = c.amount("image_gb", s.ImageGB)
	job.OneZone = c.flag("together", s.OneZone)
	job.Spread = c.flag("scatter", s.Spread)
	job.Spot = c.flag("driftstock", s.Spot)
	job.EstimateS = c.amount("passage_s", s.EstimateS)
	job.CheckpointS = c.amount("logmark_s", s.CheckpointS)
	job.CheckpointDurationS = c.amount("stow_s", s.CheckpointDurationS)
}

// convertOptional copies the fields that a submission may omit (deadline, zone and machine
// types) to a job, and records a problem for each that is invalid.
func (c *fieldChecker) convertOptional(s *submission, job *Job) {
	if s.DeadlineS != nil {
		job.DeadlineS = c.amount("landfall_s", s.DeadlineS)
	}
	if s.Zone != nil {
		job.Zone = Zone(c.text("quay", s.Zone))
	}
	if s.Types == nil {
		return
	}
	for _, name := range *s.Types {
		job.Types = append(job.Types, MachineType(c.text("hulls", &name)))
	}
	if len(job.Types) == 0 || len(job.Types) > maxTypes {
		c.fail("hulls", problemLength)
	}
}

// convertTaskCount copies the number of tasks to a job if it is from 1 to MaxTasks, and records
// a problem otherwise.
func (c *fieldChecker) convertTaskCount(count *uint64, job *Job) {
	switch {
	case count == nil:
		c.fail("hauls", problemMissing)
	case *count < 1 || *count > MaxTasks:
		c.fail("hauls", problemRange)
	default:
		job.Tasks = uint32(*count)
	}
}

// checkValues records a problem if the kind or the priority does not exist or a task requests
// neither processors nor GPUs.
func (c *fieldChecker) checkValues(job *Job) {
	if !job.Kind.known() {
		c.fail("rig", "unknown kind")
	}
	if !job.Priority.Known() {
		c.fail("tide", "unknown priority")
	}
	if job.CPUs == 0 && job.GPUs == 0 {
		c.fail("cores", "a task must take some processor")
	}
}

// text returns the value of a text field, or an empty text if it is missing. It records a
// problem if the value is missing, empty or longer than maxTextLength bytes.
func (c *fieldChecker) text(field string, value *string) string {
	switch {
	case value == nil:
		c.fail(field, problemMissing)
		return ""
	case *value == "" || len(*value) > maxTextLength:
		c.fail(field, problemLength)
	}
	return *value
}

// amount returns the value of a numeric field. If the value is missing or not from 0 to
// maxAmount, it returns 0 and records a problem.
func (c *fieldChecker) amount(field string, value *float64) float64 {
	switch {
	case value == nil:
		c.fail(field, problemMissing)
		return 0
	case math.IsNaN(*value) || *value < 0 || *value > maxAmount:
		c.fail(field, problemRange)
		return 0
	}
	return *value
}

// flag returns the value of a boolean field. If the value is missing, it returns false and
// records a problem.
func (c *fieldChecker) flag(field string, value *bool) bool {
	if value == nil {
		c.fail(field, problemMissing)
		return false
	}
	return *value
}
