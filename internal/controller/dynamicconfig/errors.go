package dynamicconfig

import "fmt"

// RefusedError is a change that can't be made. Operators get the reason in the reply.
type RefusedError struct{ Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return e.Reason }

// refused makes a RefusedError with a formatted reason.
func refused(format string, args ...any) error {
	return &RefusedError{Reason: fmt.Sprintf(format, args...)}
}
