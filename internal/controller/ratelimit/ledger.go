package ratelimit

import (
	"math"
	"time"

	"damsonkeel/internal/controller/clock"
)

// Request states the rates that a controller could use beyond its base allotment. It is
// sent to the controller's peers.
type Request struct {
	At   clock.Time // time of the request, by the requester's clock
	Want Amount     // requested amount; all peers receive the same request
}

// Grant answers a Request. It is sent to the requester.
type Grant struct {
	Asked  clock.Time // Request.At of the answered request, by the borrower's clock
	Amount Amount     // granted amount, including earlier grants that it replaces
}

const (
	// grantDuration is how long after its request a borrower may use a grant.
	grantDuration = clock.Time(4 * time.Second)
	// reclaimAfter is how long after a grant its lender does not use the granted amount. It
	// is longer than grantDuration to allow for clocks that are off by 0.05% each and for
	// requests to the store that are in flight.
	reclaimAfter = grantDuration + grantDuration/100 + clock.Time(500*time.Millisecond)
	// maxGrantedFraction is the largest fraction of its base allotment that a controller
	// lends.
	maxGrantedFraction = 0.5
	// headroomFactor is the multiple of its need that a controller keeps for itself, and
	// requests from its peers as far as it exceeds the base allotment.
	headroomFactor = 2.0
	// needDecay is the weight of the previous need, against the use in the last second,
	// while the need falls.
	needDecay = 0.7
)

// MaxGrantDuration is how long after a grant its lender does not use the granted amount. The
// borrower uses it for a shorter time.
const MaxGrantDuration = time.Duration(reclaimAfter)

// Ledger is one controller's account of its rates. A key of type K identifies one session
// of a peer, and no other process or session of the same peer has the same key. A request
// is answered only to the session that sent it, since its time is by that session's clock.
type Ledger[K comparable] struct {
	base Amount // the controller's allotment without borrowing and lending
	// startupHoldEnd is the time from which no grant of an earlier process is in use.
	startupHoldEnd clock.Time
	need           Amount                   // see NoteUse
	requests       map[K]peerRequest        // requests of peers that were not answered yet
	outstanding    map[K][]outstandingGrant // grants to peers that they may be using
	borrowed       map[K]Grant              // the last grant of each peer to this controller
}

// peerRequest is the last request of a peer, and the time at which it was received.
type peerRequest struct {
	request    Request
	receivedAt clock.Time
}

// outstandingGrant is an amount that the lender does not use until a time.
type outstandingGrant struct {
	amount Amount
	until  clock.Time
}

// NewLedger returns a ledger with a base allotment. Until MaxGrantDuration has passed or
// EndStartupHold is called, the ledger holds back as much as an earlier process may have lent:
// it counts maxGrantedFraction of the base as lent and grants nothing.
func NewLedger[K comparable](base Amount, now clock.Time) *Ledger[K] {
	return &Ledger[K]{
		base:           base,
		startupHoldEnd: now + reclaimAfter,
		requests:       map[K]peerRequest{},
		outstanding:    map[K][]outstandingGrant{},
		borrowed:       map[K]Grant{},
	}
}

// EndStartupHold makes the whole base allotment available at once, of which NewLedger holds back
// a part: the caller asserts that no grant of an earlier process is in use.
func (b *Ledger[K]) EndStartupHold() { b.startupHoldEnd = 0 }

// NoteUse updates the need by the requests and writes that were demanded in the last second,
// within the allotment or not. The need rises to a higher demand at once and falls slowly to a
// lower one. It is to be called once a second.
func (b *Ledger[K]) NoteUse(last Amount) {
	b.need = combine(b.need, last, func(need, last float64) float64 {
		return math.Max(last, needDecay*need+(1-needDecay)*last)
	})
}

// Request returns the request to send to all peers now: the amount by which headroomFactor times
// the need exceeds the base allotment, or zero.
func (b *Ledger[K]) Request(now clock.Time) Request {
	want := combine(b.need, b.base, func(need, base float64) float64 {
		return math.Max(0, headroomFactor*need-base)
	})
	return Request{At: now, Want: want}
}

// NoteRequest records a peer's request, which replaces an earlier unanswered one.
func (b *Ledger[K]) NoteRequest(peer K, request Request, now clock.Time) {
	b.requests[peer] = peerRequest{request, now}
}

// GrantRequests returns the grants to send to peers, and counts them as outstanding. It answers
// the last request of each peer that was received no more than grantDuration ago, from the part
// of the allotment that this controller does not need. It drops all requests: a peer without a
// grant sends a new one.
func (b *Ledger[K]) GrantRequests(now clock.Time) map[K]Grant {
	b.expire(now)
	fraction := b.grantableFraction(now)
	grants := map[K]Grant{}
	for peer, r := range b.requests {
		amount := b.grantAmount(peer, r.request.Want, fraction)
		if amount == (Amount{}) || now-r.receivedAt > grantDuration {
			continue
		}
		b.outstanding[peer] = append(b.outstanding[peer], outstandingGrant{amount, now + reclaimAfter})
		grants[peer] = Grant{Asked: r.request.At, Amount: amount}
	}
	clear(b.requests)
	return grants
}

// grantableFraction returns the fraction, at most 1, of the peers' requested amounts that can be
// granted now: what the base allotment exceeds headroomFactor times the need by, but at most
// maxGrantedFraction of it, less the outstanding grants, divided by the sum of the requests.
func (b *Ledger[K]) grantableFraction(now clock.Time) Amount {
	unused := combine(b.base, b.need, func(base, need float64) float64 { return base - headroomFactor*need })
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

// grantAmount returns the amount to grant to a peer: a fraction of its request in addition
// to the amount it may have from earlier grants, since the new grant replaces those, and
// no more than it requested.
func (b *Ledger[K]) grantAmount(peer K, want, fraction Amount) Amount {
	additional := combine(want, fraction, func(want, fraction float64) float64 { return want * fraction })
	total := combine(b.largestOutstanding(peer), additional, add)
	return combine(total, want, math.Min)
}

// NoteGrant records a peer's grant, which Allotment includes until the grant expires. It replaces
// the last grant of that peer only if it answers a later request.
func (b *Ledger[K]) NoteGrant(peer K, grant Grant) {
	if last, ok := b.borrowed[peer]; !ok || grant.Asked > last.Asked {
		b.borrowed[peer] = grant
	}
}

// Allotment returns the rates that this controller may use now: its own and the borrowed ones.
func (b *Ledger[K]) Allotment(now clock.Time) Amount {
	sum := b.OwnAllotment(now)
	for _, grant := range b.borrowed {
		sum = sum.Plus(grant.Amount)
	}
	return sum
}

// OwnAllotment returns the rates that this controller may use now without borrowed ones: the base
// allotment less what it has lent.
func (b *Ledger[K]) OwnAllotment(now clock.Time) Amount {
	b.expire(now)
	return combine(b.base, b.outstandingAt(now), subtract)
}

// BorrowedUntil returns the time at which the first borrowed grant expires; ok is false if
// there is none.
func (b *Ledger[K]) BorrowedUntil(now clock.Time) (until clock.Time, ok bool) {
	b.expire(now)
	for _, grant := range b.borrowed {
		if end := grant.Asked + grantDuration; !ok || end < until {
			until, ok = end, true
		}
	}
	return until, ok
}

// outstandingAt returns the amount lent to all peers that they may be using, from the grants that
// expire has left. Before startupHoldEnd it returns the largest amount that an earlier process
// may have lent.
func (b *Ledger[K]) outstandingAt(now clock.Time) Amount {
	if now < b.startupHoldEnd {
		return b.base.Times(maxGrantedFraction)
	}
	var sum Amount
	for peer := range b.outstanding {
		sum = sum.Plus(b.largestOutstanding(peer))
	}
	return sum
}

// largestOutstanding returns the largest amount that a peer may be using: a peer uses only
// one of its grants at a time.
func (b *Ledger[K]) largestOutstanding(peer K) Amount {
	var largest Amount
	for _, grant := range b.outstanding[peer] {
		largest = combine(largest, grant.amount, math.Max)
	}
	return largest
}

// expire removes the grants to peers that this controller no longer has to hold back, and those
// of peers that it may no longer use.
func (b *Ledger[K]) expire(now clock.Time) {
	for peer, grants := range b.outstanding {
		var active []outstandingGrant
		for _, grant := range grants {
			if grant.until > now {
				active = append(active, grant)
			}
		}
		b.outstanding[peer] = active
		if len(active) == 0 {
			delete(b.outstanding, peer)
		}
	}
	for peer, grant := range b.borrowed {
		if grant.Asked+grantDuration <= now {
			delete(b.borrowed, peer)
		}
	}
}
