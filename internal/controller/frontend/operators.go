package frontend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"damsonkeel/internal/kvstore"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/serviceclient"
	"damsonkeel/internal/transport"
)

const (
	// operatorBudget is the maximum duration of an operator's request, with all retries.
	operatorBudget = 1800 * time.Millisecond
	// operatorRetryDelay is the time before a change is retried, in which the core can
	// observe the changes of others.
	operatorRetryDelay = 100 * time.Millisecond
)

// handleOperatorRequest answers an operator's request in a separate goroutine, which ends
// within operatorBudget. It refuses the request with 503 if maxOperatorRequests others are in
// progress.
func (f *Frontend) handleOperatorRequest(body []byte, reply transport.Reply) {
	select {
	case f.operatorSlots <- struct{}{}:
	default:
		reply(Failure(http.StatusServiceUnavailable, "too many requests at once"))
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), operatorBudget)
		defer func() {
			cancel()
			<-f.operatorSlots
		}()
		reply(f.answerOperatorRequest(ctx, body))
	}()
}

// answerOperatorRequest verifies the seal of an operator's request and answers the request. The
// answer is 403 if the seal is not valid, and 503 if the keys can't be read.
func (f *Frontend) answerOperatorRequest(ctx context.Context, body []byte) *transport.Message {
	keys, err := operatorapi.ReadKeys(f.operator.OperatorKeys) // read for each request: keys may change without a restart
	if err != nil {
		f.log.Error("operators' keys not read", "err", err)
		return Failure(http.StatusServiceUnavailable, "operators' keys can't be read")
	}
	request, by, err := operatorapi.Open(body, keys, time.Now(), f.settings.Site.ClockError())
	if err != nil {
		f.log.Info("operator's request refused", "err", err)
		return success(http.StatusForbidden, operatorapi.Reply{Code: operatorapi.Denied, Reason: operatorapi.ErrSeal.Error()})
	}
	if request.Op == operatorapi.OpConfigHistory {
		return f.configurationHistory(ctx)
	}
	return f.commitDecision(ctx, by, &request)
}

// commitDecision has the core decide an operator's request, commits the decided change, if
// there is one, and answers. It answers 503 if the core is too busy, the key-value store does
// not execute the transaction or ctx ends, and refuses a change that the store finds malformed.
// It retries while others change the same records, or while the outcome of the transaction is
// unknown: by the request's ID the core detects a change that has been made already.
func (f *Frontend) commitDecision(ctx context.Context, by string, request *operatorapi.Request) *transport.Message {
	for ctx.Err() == nil {
		decision, ok := f.controller.DecideOperation(by, request)
		if !ok {
			break
		}
		if decision.Transaction == nil {
			return operatorResponse(decision.Reply)
		}
		_, err := f.store.CompareAndSwap(ctx, *decision.Transaction, kvstore.PriorityHigh)
		switch {
		case err == nil:
			f.log.Info("operator's change committed", "by", by, "op", request.Op, "window", request.Window, "name", request.Name, "controller", request.Controller, "id", request.ID)
			return operatorResponse(decision.Reply)
		case errors.Is(err, serviceclient.ErrMalformed):
			f.log.Error("operator's record refused by the key-value store", "err", err)
			return operatorResponse(operatorapi.Reply{Code: operatorapi.Refused, Reason: "too large to be stored"})
		case errors.Is(err, serviceclient.ErrRefused):
			f.log.Debug("operator's change not executed", "err", err)
			return Failure(http.StatusServiceUnavailable, "state service can't be asked")
		}
		select {
		case <-time.After(operatorRetryDelay):
		case <-ctx.Done():
		}
	}
	return Failure(http.StatusServiceUnavailable, "not settled yet")
}
