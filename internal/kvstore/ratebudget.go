package kvstore

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// leaseReserve is the fraction of the store's rates that is not allotted to any controller,
// so that leases can be renewed at any time.
const leaseReserve = 0.1

// RateAllotment is a controller's part of the store's rates: requests of all kinds, and
// writes, per second. A write is one put or delete of a transaction. As a result of
// TakeDemandedRate it holds numbers of requests and writes.
type RateAllotment struct{ Requests, Writes float64 }

// EqualAllotment returns the allotment of each of count controllers while no controller has
// borrowed from another.
func EqualAllotment(rps, writeRPS float64, count int) RateAllotment {
	fraction := (1 - leaseReserve) / float64(max(count, 1))
	return RateAllotment{rps * fraction, writeRPS * fraction}
}

// Priority orders transactions when the allotment of writes runs short.
type Priority int

// The priorities of transactions.
const (
	PriorityHigh   Priority = iota // users or agent epochs wait for the transaction
	PriorityNormal                 // may be delayed, such as the registration of many machines at once
	PriorityLow                    // only keeps a record up to date, such as a bitmap
)

// reservedPerPriority is the fraction of the burst of writes that a transaction leaves to
// those of higher priorities, for each step of its priority below PriorityHigh.
const reservedPerPriority = 1.0 / 4

// rateBudget limits requests and writes to an allotment, a part of which may be borrowed until a
// time, and counts the demand.
type rateBudget struct {
	mu            sync.Mutex
	requests      *rate.Limiter // of requests of all kinds
	writes        *rate.Limiter // of puts and deletes
	own           RateAllotment // applies again when borrowedUntil has passed
	borrowedUntil time.Time     // zero if nothing is borrowed
	demanded      RateAllotment // requests and writes since the last takeDemanded
}

// newRateBudget returns a budget with an allotment and nothing borrowed.
func newRateBudget(allotment RateAllotment) *rateBudget {
	return &rateBudget{
		requests: rate.NewLimiter(rate.Limit(allotment.Requests), burst(allotment.Requests)),
		writes:   rate.NewLimiter(rate.Limit(allotment.Writes), burst(allotment.Writes)),
	}
}

// burst returns how many requests or writes may be sent at once at a rate: those of one second,
// but at least one.
func burst(perSecond float64) int { return max(1, int(perSecond)) }

// set makes all the allotment until the given time, and own from then on. If the time has passed,
// own applies at once.
func (b *rateBudget) set(own, all RateAllotment, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.own, b.borrowedUntil = own, time.Time{}
	if !until.After(now) {
		b.apply(now, own)
		return
	}
	b.borrowedUntil = until
	b.apply(now, all)
}

// apply sets the limits of both limiters to an allotment.
func (b *rateBudget) apply(now time.Time, allotment RateAllotment) {
	b.requests.SetLimitAt(now, rate.Limit(allotment.Requests))
	b.requests.SetBurstAt(now, burst(allotment.Requests))
	b.writes.SetLimitAt(now, rate.Limit(allotment.Writes))
	b.writes.SetBurstAt(now, burst(allotment.Writes))
}

// takeDemanded returns the requests and writes that were demanded since the last call,
// whether allowed or not, and resets the count.
func (b *rateBudget) takeDemanded() RateAllotment {
	b.mu.Lock()
	defer b.mu.Unlock()
	demanded := b.demanded
	b.demanded = RateAllotment{}
	return demanded
}

// allow takes a request with a number of writes out of the budget and adds it to the demand. It
// reports whether the request may be sent: the budgets of requests and of writes suffice, and
// mustDefer does not reserve the rest of the writes for higher priorities.
func (b *rateBudget) allow(writes int, p Priority) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.count(now, writes)
	return !b.mustDefer(now, writes, p) && b.requests.AllowN(now, 1) && b.writes.AllowN(now, writes)
}

// takeUnconditionally takes a request without writes out of the budget and adds it to the demand.
// The request may be sent even if the budget is exhausted; other requests have to wait instead.
func (b *rateBudget) takeUnconditionally() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.count(now, 0)
	b.requests.AllowN(now, 1)
}

// countRead adds a request without writes to the demand. The caller waits for the limiter
// of requests itself.
func (b *rateBudget) countRead() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count(time.Now(), 0)
}

// takeWrite takes one write out of the budget after the store has counted it.
func (b *rateBudget) takeWrite() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writes.AllowN(time.Now(), 1)
}

// count adds a request to the demand. It also returns to the controller's own allotment if
// the borrowed one has expired: the lender uses its rate again from that time, whether or
// not SetAllotment was called since.
func (b *rateBudget) count(now time.Time, writes int) {
	if !b.borrowedUntil.IsZero() && now.After(b.borrowedUntil) {
		b.borrowedUntil = time.Time{}
		b.apply(now, b.own)
	}
	b.demanded.Requests++
	b.demanded.Writes += float64(writes)
}

// mustDefer reports whether a transaction has to leave the remaining budget of writes to
// transactions of a higher priority: it would leave less of the burst than
// reservedPerPriority for each step of its priority below PriorityHigh. While the full burst is
// available, no transaction has to.
func (b *rateBudget) mustDefer(now time.Time, writes int, p Priority) bool {
	available, full := b.writes.TokensAt(now), float64(b.writes.Burst())
	reserved := full * float64(p) * reservedPerPriority
	return available < full && available-float64(writes) < reserved
}
