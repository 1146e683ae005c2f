package protocol

import (
	"errors"
	"math"
)

// FieldError is a field of a submission that is missing or has a bad value.
type FieldError struct {
	Field   string // its name on the wire
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// Problems of fields.
const (
	problemMissing = "missing"
	problemLength  = "empty or too long"
	problemRange   = "out of range"
)

// Limits of the fields of submissions.
const (
	maxTextLength = 200
	maxAmount     = 1e9
	maxTypes      = 50
)

var errEmptySubmission = errors.New("empty submission")

// fieldChecker converts the fields of a submission and stores the first error.
type fieldChecker struct{ err error }

func (c *fieldChecker) fail(field, problem string) {
	if c.err == nil {
		c.err = &FieldError{Field: field, Problem: problem}
	}
}

// required converts the fields that a submission must have.
func (c *fieldChecker) required(s *submission, job *Job) {
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

// optional converts the fields that a submission may leave out.
func (c *fieldChecker) optional(s *submission, job *Job) {
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

// tasks converts the number of tasks.
func (c *fieldChecker) tasks(count *uint64, job *Job) {
	switch {
	case count == nil:
		c.fail("hauls", problemMissing)
	case *count < 1 || *count > MaxTasks:
		c.fail("hauls", problemRange)
	default:
		job.Tasks = uint32(*count)
	}
}

// values checks the kind and the priority, and that a task uses some resource.
func (c *fieldChecker) values(job *Job) {
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

func (c *fieldChecker) flag(field string, value *bool) bool {
	if value == nil {
		c.fail(field, problemMissing)
		return false
	}
	return *value
}
