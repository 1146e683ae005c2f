// Package outcome translates errors of calls to the platform's services, the key-value
// store and the cloud, into what is known of their effect. It holds no state.
package outcome

import (
	"errors"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/serviceclient"
)

// Of returns the outcome of a call that ended with err. It is unknown where the call may
// have had its effect though no answer came.
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
