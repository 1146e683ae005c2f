package outcome

import (
	"context"
	"fmt"
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/serviceclient"
)

// TestOutcomeIsUnknownWithoutAnswer checks that an outcome is certain only if the service
// has answered, also if the error is wrapped.
func TestOutcomeIsUnknownWithoutAnswer(t *testing.T) {
	for _, tc := range []struct {
		err  error
		want message.Outcome
	}{
		{nil, message.OutcomeDone},
		{serviceclient.ErrConflict, message.OutcomeFailed},
		{serviceclient.ErrMalformed, message.OutcomeFailed},
		{serviceclient.ErrRefused, message.OutcomeRefused},
		{fmt.Errorf("txn: %w", serviceclient.ErrRefused), message.OutcomeRefused},
		{context.DeadlineExceeded, message.OutcomeUnknown},
	} {
		if got := Of(tc.err); got != tc.want {
			t.Errorf("outcome of %v is %v, want %v", tc.err, got, tc.want)
		}
	}
}
