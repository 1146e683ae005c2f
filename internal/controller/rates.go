package controller

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ratelimit"
	"damsonkeel/internal/kvstore"
)

// equalAllotment is this controller's part of the key-value store's rates before any rate
// is borrowed.
func (c *Core) equalAllotment() ratelimit.Amount {
	site := &c.Settings.Site
	return ratelimit.Amount(kvstore.EqualAllotment(site.State.RPS, site.State.WriteRPS, site.Count))
}

// setRateAllotment emits the rates that this controller may use now, if they have changed.
func (c *Core) setRateAllotment() {
	allotment := message.SetRateAllotment{Own: c.rates.OwnAllotment(c.Now), All: c.rates.Allotment(c.Now)}
	if until, ok := c.rates.BorrowedUntil(c.Now); ok {
		allotment.Until = until
	}
	if allotment != c.rateAllotment {
		c.rateAllotment = allotment
		c.Emit(allotment)
	}
}
