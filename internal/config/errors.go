package config

import (
	"errors"
	"fmt"
)

// FieldError is the error for a field of the platform's settings that is missing or has an
// invalid value. Field is its path in the file, such as "settings.workers.lease_s".
type FieldError struct {
	Field   string
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// badField returns a FieldError with a formatted problem.
func badField(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// ValueError is the error for a text in the operators' settings that can't be parsed or is out
// of range.
type ValueError struct {
	Text    string
	Problem string
}

// Error implements error.
func (e *ValueError) Error() string { return fmt.Sprintf("%q %s", e.Text, e.Problem) }

var (
	errTooShort         = errors.New("is too short")
	errTooLong          = errors.New("is too long")
	errEmpty            = errors.New("operator settings: empty")
	errRootElement      = errors.New("want <damsonkeel>")
	errUnknownElement   = errors.New("unknown element")
	errUnknownAttribute = errors.New("unknown attribute")
	errUnknownField     = errors.New("unknown field")
	errNoFile           = errors.New("no file is named")
)
