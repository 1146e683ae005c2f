package dynamicconfig

import "fmt"

// RefusedError is the error for a requested change that can't be made because it is invalid or
// against a rule. The reply to the operator contains its reason.
type RefusedError struct{ Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return e.Reason }

// refused returns a RefusedError with a formatted reason.
func refused(format string, args ...any) error {
	return &RefusedError{Reason: fmt.Sprintf(format, args...)}
}
