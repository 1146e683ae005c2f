package controller

import (
	"context"
	"errors"
	"time"

	"damsonkeel/internal/controller/operatorrequest"

	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/kvstore"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/serviceclient"
	"damsonkeel/internal/transport"
)

// operate answers an operator's request. A change is tried again while others
// change the calendar, or while it is not known what became of it: its id tells.
func (f *frontend) operate(ctx context.Context, body []byte) *transport.Message {
	keys, err := operatorapi.ReadKeys(f.n.op.OperatorKeys) // anew each time: keys are changed without a restart
	if err != nil {
		f.n.log.Error("operators' keys can't be read", "err", err)
		return failure(503, "operators' keys can't be read")
	}
	r, by, err := operatorapi.Open(body, keys, time.Now(), f.n.settings.Site.ClockError())
	if err != nil {
		f.n.log.Info("operator's request refused", "err", err)
		return success(403, operatorapi.Reply{Code: operatorapi.Denied, Reason: operatorapi.ErrSeal.Error()})
	}
	if r.Op == operatorapi.OpConfigHistory {
		return f.configurationHistory(ctx)
	}
	for ctx.Err() == nil {
		d, ok := ask(f.n, func(c *Core) operatorrequest.Decision { return c.operations.Decide(by, &r) })
		if !ok {
			break
		}
		if d.Transaction == nil {
			return operatorAnswer(d.Reply)
		}
		_, err := f.n.state.CompareAndSwap(ctx, *d.Transaction, kvstore.First)
		switch {
		case err == nil:
			f.n.log.Info("operator's change", "by", by, "op", r.Op, "window", r.Window, "name", r.Name, "controller", r.Controller, "id", r.ID)
			return operatorAnswer(d.Reply)
		case errors.Is(err, serviceclient.ErrMalformed):
			f.n.log.Error("state service refuses an operator's record", "err", err)
			return operatorAnswer(operatorapi.Reply{Code: operatorapi.Refused, Reason: "too large to be stored"})
		case errors.Is(err, serviceclient.ErrRefused):
			f.n.log.Debug("operator", "err", err)
			return failure(503, "state service can't be asked")
		}
		sleep(ctx, 100*time.Millisecond) // until what is followed has caught up
	}
	return failure(503, "not settled yet")
}

func operatorAnswer(r operatorapi.Reply) *transport.Message {
	status := map[operatorapi.Code]int{operatorapi.Done: 200, operatorapi.Refused: 409, operatorapi.NotFound: 404, operatorapi.Later: 503}[r.Code]
	m := success(status, r)
	if status == 503 {
		m.RetryAfterS = admission.RetryAfterS
	}
	return m
}
