// Package outcome translates errors of calls to the platform's services, the key-value
// store and the cloud, into outcomes: whether the call had its effect, did not, or may have
// had it. It holds no state.
package outcome

import (
	"errors"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/serviceclient"
)

// Of returns the outcome of a call that returned err: done for no error, failed if the service
// rejected the call for good (a condition does not hold, or the request is malformed), refused
// if the call was certainly not executed, and unknown for all other errors: the call may have
// had its effect although no answer was received.
func Of(err error) message.Outcome {
	switch {
	case err == nil:
		return message.OutcomeDone
	case errors.Is(err, serviceclient.ErrConflict), errors.Is(err, serviceclient.ErrMalformed):
		return message.OutcomeFailed
	case errors.Is(err, serviceclient.ErrRefused):
		return message.OutcomeRefused
	}
	return message.OutcomeUnknown
}
