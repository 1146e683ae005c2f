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
	// operatorBudget is how long an operator's request may take.
	operatorBudget = 1800 * time.Millisecond
	// operatorRetryDelay is the time until a change is tried again, in which the core
	// follows what others have changed.
	operatorRetryDelay = 100 * time.Millisecond
)

// operatorRequest answers an operator's request in a goroutine of its own, which ends
// within operatorBudget.
func (f *Frontend) operatorRequest(body []byte, reply transport.Reply) {
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
		reply(f.operate(ctx, body))
	}()
}

// operate verifies an operator's request and answers it.
func (f *Frontend) operate(ctx context.Context, body []byte) *transport.Message {
	keys, err := operatorapi.ReadKeys(f.operator.OperatorKeys) // each time: keys are changed without a restart
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
	return f.decide(ctx, by, &request)
}

// decide has the core decide an operator's request, and commits the change. A change is
// tried again while others change the same records, or while its effect is unknown: the
// request's ID shows the core whether it has been made.
func (f *Frontend) decide(ctx context.Context, by string, request *operatorapi.Request) *transport.Message {
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
			f.log.Info("operator's change", "by", by, "op", request.Op, "window", request.Window, "name", request.Name, "controller", request.Controller, "id", request.ID)
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
