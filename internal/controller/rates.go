package controller

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ratelimit"
	"damsonkeel/internal/kvstore"
)

// equalAllotment returns this controller's share of the rate limits of the key-value store
// before any of them is borrowed.
func (c *Core) equalAllotment() ratelimit.Amount {
	site := &c.Settings.Site
	return ratelimit.Amount(kvstore.EqualAllotment(site.State.RPS, site.State.WriteRPS, site.Count))
}

// emitRateAllotment emits an action that sets the rates at which this controller may use the
// key-value store, with and without borrowed ones, if they have changed since the last call.
func (c *Core) emitRateAllotment() {
	allotment := message.SetRateAllotment{Own: c.rates.OwnAllotment(c.Now), All: c.rates.Allotment(c.Now)}
	if until, ok := c.rates.BorrowedUntil(c.Now); ok {
		allotment.Until = until
	}
	if allotment != c.rateAllotment {
		c.rateAllotment = allotment
		c.Emit(allotment)
	}
}
