package ratelimit

import (
	"math"
	"time"

	"damsonkeel/internal/controller/clock"
)

// Request says what a controller could use beyond its own allotment. It is sent to its
// peers.
type Request struct {
	At   clock.Time // by the requester's clock
	Want Amount
}

// Grant answers a Request. It is sent to the requester.
type Grant struct {
	Asked  clock.Time // the At of the request
	Amount Amount
}

const (
	// grantDuration is how long after its request a borrower may use a grant.
	grantDuration = clock.Time(4 * time.Second)
	// reclaimAfter is how long after a grant its lender does without it: longer, for
	// clocks that differ by 0.05% each and for requests in flight.
	reclaimAfter = grantDuration + grantDuration/100 + clock.Time(500*time.Millisecond)
	// maxGrantedFraction is the most of its base that a controller lends.
	maxGrantedFraction = 0.5
	// headroom is how many times its need a controller keeps.
	headroom = 2.0
	// needDecay is the weight of the need before the last second in one that falls.
	needDecay = 0.7
)

// MaxGrantDuration is the longest that a lender may do without what it has lent.
const MaxGrantDuration = time.Duration(reclaimAfter)

// Ledger is one controller's account of its rates. Peers are known by a key that no other
// process or session of the same peer has: a request is answered to the session that it
// came from, by whose clock it counts, or to none.
type Ledger[K comparable] struct {
	base Amount
	// settledAt is from when on no grant of an earlier process is in use any more.
	settledAt   clock.Time
	need        Amount
	requests    map[K]peerRequest
	outstanding map[K][]outstandingGrant
	borrowed    map[K]Grant
}

// peerRequest is the last request of a peer, and when it was received.
type peerRequest struct {
	request    Request
	receivedAt clock.Time
}

// outstandingGrant is an amount lent until a time.
type outstandingGrant struct {
	amount Amount
	until  clock.Time
}

// NewLedger returns a ledger with a base allotment. Until MaxGrantDuration has passed, as
// much as an earlier process may have lent is held back.
func NewLedger[K comparable](base Amount, now clock.Time) *Ledger[K] {
	return &Ledger[K]{
		base:        base,
		settledAt:   now + reclaimAfter,
		requests:    map[K]peerRequest{},
		outstanding: map[K][]outstandingGrant{},
		borrowed:    map[K]Grant{},
	}
}

// NothingOutstanding says that there is no grant that this ledger does not know of.
func (b *Ledger[K]) NothingOutstanding() { b.settledAt = 0 }

// NoteUse records what was requested of the store in the last second, whether it was
// within the allotment or not. The need rises at once and falls slowly.
func (b *Ledger[K]) NoteUse(last Amount) {
	b.need = combine(b.need, last, func(need, last float64) float64 {
		return math.Max(last, needDecay*need+(1-needDecay)*last)
	})
}

// Request returns what to request of all peers now.
func (b *Ledger[K]) Request(now clock.Time) Request {
	want := combine(b.need, b.base, func(need, base float64) float64 {
		return math.Max(0, headroom*need-base)
	})
	return Request{At: now, Want: want}
}

// NoteRequest records a peer's request. It replaces an earlier one that was not answered.
func (b *Ledger[K]) NoteRequest(peer K, request Request, now clock.Time) {
	b.requests[peer] = peerRequest{request, now}
}

// GrantRequests answers the last request of each peer, out of what is not needed here.
func (b *Ledger[K]) GrantRequests(now clock.Time) map[K]Grant {
	b.expire(now)
	fraction := b.grantableFraction(now)
	grants := map[K]Grant{}
	for peer, r := range b.requests {
		amount := b.amountFor(peer, r.request.Want, fraction)
		if amount == (Amount{}) || now-r.receivedAt > grantDuration {
			continue
		}
		b.outstanding[peer] = append(b.outstanding[peer], outstandingGrant{amount, now + reclaimAfter})
		grants[peer] = Grant{Asked: r.request.At, Amount: amount}
	}
	clear(b.requests)
	return grants
}

// grantableFraction is the fraction of the requested amounts that can be granted now.
func (b *Ledger[K]) grantableFraction(now clock.Time) Amount {
	unused := combine(b.base, b.need, func(base, need float64) float64 { return base - headroom*need })
	available := combine(b.base.Times(maxGrantedFraction), unused, math.Min)
	available = combine(available, b.outstandingAt(now), func(available, lent float64) float64 {
		return math.Max(0, available-lent)
	})
	var requested Amount
	for _, r := range b.requests {
		requested = requested.Plus(r.request.Want)
	}
	return combine(available, requested, func(available, requested float64) float64 {
		if requested <= 0 {
			return 0
		}
		return math.Min(1, available/requested)
	})
}

// amountFor is what a peer is granted: a fraction of its request on top of what it may
// have of earlier grants, since the new grant replaces these, and no more than it wants.
func (b *Ledger[K]) amountFor(peer K, want, fraction Amount) Amount {
	fresh := combine(want, fraction, func(want, fraction float64) float64 { return want * fraction })
	total := combine(b.largestOutstanding(peer), fresh, add)
	return combine(total, want, math.Min)
}

// NoteGrant records a peer's grant. One that answers an earlier request than the last
// does not replace it.
func (b *Ledger[K]) NoteGrant(peer K, grant Grant) {
	if last, ok := b.borrowed[peer]; !ok || grant.Asked > last.Asked {
		b.borrowed[peer] = grant
	}
}

// Allotment returns what may be used now.
func (b *Ledger[K]) Allotment(now clock.Time) Amount {
	sum := b.Own(now)
	for _, grant := range b.borrowed {
		sum = sum.Plus(grant.Amount)
	}
	return sum
}

// Own returns the part of the allotment that is not borrowed.
func (b *Ledger[K]) Own(now clock.Time) Amount {
	b.expire(now)
	return combine(b.base, b.outstandingAt(now), subtract)
}

// Until returns when the first borrowed grant expires; ok if there is any.
func (b *Ledger[K]) Until(now clock.Time) (until clock.Time, ok bool) {
	b.expire(now)
	for _, grant := range b.borrowed {
		if end := grant.Asked + grantDuration; !ok || end < until {
			until, ok = end, true
		}
	}
	return until, ok
}

// outstandingAt returns what is lent to all peers, or may have been lent by an earlier
// process.
func (b *Ledger[K]) outstandingAt(now clock.Time) Amount {
	if now < b.settledAt {
		return b.base.Times(maxGrantedFraction)
	}
	var sum Amount
	for peer := range b.outstanding {
		sum = sum.Plus(b.largestOutstanding(peer))
	}
	return sum
}

// largestOutstanding returns the largest grant that a peer may be using: it uses one at a
// time.
func (b *Ledger[K]) largestOutstanding(peer K) Amount {
	var largest Amount
	for _, grant := range b.outstanding[peer] {
		largest = combine(largest, grant.amount, math.Max)
	}
	return largest
}

// expire removes the grants whose time is over.
func (b *Ledger[K]) expire(now clock.Time) {
	for peer, grants := range b.outstanding {
		var left []outstandingGrant
		for _, grant := range grants {
			if grant.until > now {
				left = append(left, grant)
			}
		}
		b.outstanding[peer] = left
		if len(left) == 0 {
			delete(b.outstanding, peer)
		}
	}
	for peer, grant := range b.borrowed {
		if grant.Asked+grantDuration <= now {
			delete(b.borrowed, peer)
		}
	}
}
