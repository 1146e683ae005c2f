package kvstore

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// leaseReserve is the part of the store's rates that no controller is allotted, so that
// leases can be renewed at any time.
const leaseReserve = 0.1

// RateAllotment is a controller's part of the store's rates: all requests, and changes,
// a second.
type RateAllotment struct{ Requests, Writes float64 }

// EqualAllotment is the allotment of each of count controllers while none has borrowed
// from another.
func EqualAllotment(rps, writeRPS float64, count int) RateAllotment {
	part := (1 - leaseReserve) / float64(max(count, 1))
	return RateAllotment{rps * part, writeRPS * part}
}

// Priority orders transactions when the allotment of changes runs short.
type Priority int

// The precedences of transactions.
const (
	PriorityHigh   Priority = iota // users or agent epochs wait for it
	PriorityNormal                 // may be delayed, as the registration of many machines at once
	PriorityLow                    // only keeps a record up to date, as bitmaps
)

// reservedPerPrecedence is the part of the burst of changes that each step of precedence
// leaves to the transactions before it.
const reservedPerPrecedence = 1.0 / 4

// rateBudget limits requests to an allotment, part of which may be borrowed for a time.
type rateBudget struct {
	mu            sync.Mutex
	requests      *rate.Limiter
	writes        *rate.Limiter
	own           RateAllotment // in force again when borrowedUntil has passed
	borrowedUntil time.Time     // zero if nothing is borrowed
	demanded      RateAllotment // since it was last reported
}

func newRateBudget(allotment RateAllotment) *rateBudget {
	return &rateBudget{
		requests: rate.NewLimiter(rate.Limit(allotment.Requests), burst(allotment.Requests)),
		writes:   rate.NewLimiter(rate.Limit(allotment.Writes), burst(allotment.Writes)),
	}
}

// burst is how much of a rate may be used at once: that of a second.
func burst(perSecond float64) int { return max(1, int(perSecond)) }

// set puts all in force until a time, and own from then on.
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

func (b *rateBudget) apply(now time.Time, allotment RateAllotment) {
	b.requests.SetLimitAt(now, rate.Limit(allotment.Requests))
	b.requests.SetBurstAt(now, burst(allotment.Requests))
	b.writes.SetLimitAt(now, rate.Limit(allotment.Writes))
	b.writes.SetBurstAt(now, burst(allotment.Writes))
}

// takeDemanded returns what was demanded since its last call, whether granted or not.
func (b *rateBudget) takeDemanded() RateAllotment {
	b.mu.Lock()
	defer b.mu.Unlock()
	demanded := b.demanded
	b.demanded = RateAllotment{}
	return demanded
}

// allow takes a request with a number of changes out of the budget, and reports whether
// it may be sent.
func (b *rateBudget) allow(writes int, p Priority) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.count(now, writes)
	return !b.defers(now, writes, p) && b.requests.AllowN(now, 1) && b.writes.AllowN(now, writes)
}

// takeUnlimited takes a request without changes out of the budget. It may be sent in any
// case: others are held back for it.
func (b *rateBudget) takeUnlimited() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.count(now, 0)
	b.requests.AllowN(now, 1)
}

// countRead counts a request without changes that waits for the limiter of requests.
func (b *rateBudget) countRead() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count(time.Now(), 0)
}

// takeWrite takes a change out of the budget that the store has counted as one.
func (b *rateBudget) takeWrite() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writes.AllowN(time.Now(), 1)
}

// count adds a request to the demand. It also ends a borrowing that has run out: the
// lender uses its rate again at that time, whether or not this controller has noticed.
func (b *rateBudget) count(now time.Time, writes int) {
	if !b.borrowedUntil.IsZero() && now.After(b.borrowedUntil) {
		b.borrowedUntil = time.Time{}
		b.apply(now, b.own)
	}
	b.demanded.Requests++
	b.demanded.Writes += float64(writes)
}

// defers reports whether a transaction has to leave the remaining budget of changes to
// those of a higher precedence. With a full burst none has to.
func (b *rateBudget) defers(now time.Time, writes int, p Priority) bool {
	available, full := b.writes.TokensAt(now), float64(b.writes.Burst())
	reserved := full * float64(p) * reservedPerPrecedence
	return available < full && available-float64(writes) < reserved
}
