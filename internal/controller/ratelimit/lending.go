// Package ratelimit lets controllers lend one another what they do not need of
// the state service's rates. Each has an equal share to begin with; who needs
// more asks its peers with each regular message, and who needs less lends for a
// few seconds. Whatever is lost or late, the shares in use never sum to more than
// what there is.
//
// Why: a loan answers an ask and names it by the borrower's own clock. The
// borrower uses it only until a while after it asked, the lender does without it
// until a longer while after it lent, which is later: so a loan is never in use
// reportedBy both, however long either message took. A controller that has begun anew
// and no longer knows what it lent holds back, for that while, all it may have
// outstanding.
package ratelimit

import (
	"math"
	"time"

	"damsonkeel/internal/controller/clock"
)

// Amount is a part of the service's rates: requests and changes a second.
type Amount struct{ Requests, Writes float64 }

// Plus is the sum of two amounts.
func (a Amount) Plus(b Amount) Amount { return Amount{a.Requests + b.Requests, a.Writes + b.Writes} }

// Times is so many times an amount.
func (a Amount) Times(f float64) Amount { return Amount{a.Requests * f, a.Writes * f} }

func combine(a, b Amount, f func(a, b float64) float64) Amount {
	return Amount{f(a.Requests, b.Requests), f(a.Writes, b.Writes)}
}

// Request says what a controller could use beyond its own share.
type Request struct {
	At   clock.Time // reportedBy its own clock
	Want Amount
}

// Grant is the answer to an ask.
type Grant struct {
	Asked  clock.Time // the ask's At
	Amount Amount
}

const (
	// grantDuration is how long after it asked a borrower may use a loan.
	grantDuration = clock.Time(4 * time.Second)
	// reclaimAfter is how long after it lent a lender does without it: longer, for
	// clocks that differ by 0.05% each and for requests on their way.
	reclaimAfter = grantDuration + grantDuration/100 + clock.Time(500*time.Millisecond)
	// maxGrantedFraction is the part of its share that a controller lends at the most.
	maxGrantedFraction = 0.5
	// headroom is how many times what it asked for lately a controller keeps.
	headroom = 2.0
)

// Ledger is what one controller keeps of its share. Peers are known by a key that
// another process or session of the same peer does not have: an ask is answered
// to whom it came from, by whose clock it counts, or to nobody.
type Ledger[K comparable] struct {
	base        Amount
	settledAt   clock.Time // nothing lent before this book began is in use from then on
	need        Amount
	requests    map[K]peerRequest
	outstanding map[K][]outstandingLoan
	borrowed    map[K]Grant
}

type peerRequest struct {
	request Request
	at      clock.Time
}

type outstandingLoan struct {
	amount Amount
	back   clock.Time
}

// NewLedger begins with an equal share.
func NewLedger[K comparable](base Amount, now clock.Time) *Ledger[K] {
	return &Ledger[K]{base: base, settledAt: now + reclaimAfter, requests: map[K]peerRequest{}, outstanding: map[K][]outstandingLoan{}, borrowed: map[K]Grant{}}
}

// NothingOutstanding says that nothing can be lent that this book does not know.
func (b *Ledger[K]) NothingOutstanding() { b.settledAt = 0 }

// MaxGrantDuration is how long a lender may do without what it has lent, at the most.
const MaxGrantDuration = time.Duration(reclaimAfter)

// NoteUse takes what was asked of the service in the last second, whether it was
// within the share or not. What is needed grows at once and shrinks slowly.
func (b *Ledger[K]) NoteUse(last Amount) {
	b.need = combine(b.need, last, func(need, last float64) float64 { return math.Max(last, 0.7*need+0.3*last) })
}

// Request is what to ask all peers for now.
func (b *Ledger[K]) Request(now clock.Time) Request {
	want := combine(b.need, b.base, func(need, base float64) float64 { return math.Max(0, headroom*need-base) })
	return Request{At: now, Want: want}
}

// NoteRequest takes a peer's ask.
func (b *Ledger[K]) NoteRequest(peer K, a Request, now clock.Time) {
	b.requests[peer] = peerRequest{a, now}
}

// GrantRequests answers the peers' last asks, each once, out of what is not needed here.
func (b *Ledger[K]) GrantRequests(now clock.Time) map[K]Grant {
	b.forget(now)
	spare := combine(b.base.Times(maxGrantedFraction), combine(b.base, b.need, func(base, need float64) float64 { return base - headroom*need }), math.Min)
	spare = combine(spare, b.outstandingAt(now), func(spare, out float64) float64 { return math.Max(0, spare-out) })
	loans := map[K]Grant{}
	var wanted Amount
	for _, h := range b.requests {
		wanted = wanted.Plus(h.request.Want)
	}
	part := combine(spare, wanted, func(spare, wanted float64) float64 {
		if wanted <= 0 {
			return 0
		}
		return math.Min(1, spare/wanted)
	})
	for peer, h := range b.requests {
		// What it has of an earlier loan it need not be lent once more: the new
		// loan stands in its place.
		had := b.maxOutstanding(peer)
		fresh := combine(h.request.Want, part, func(want, part float64) float64 { return want * part })
		total := combine(combine(had, fresh, func(a, b float64) float64 { return a + b }), h.request.Want, math.Min)
		if total == (Amount{}) || now-h.at > grantDuration {
			continue
		}
		b.outstanding[peer] = append(b.outstanding[peer], outstandingLoan{total, now + reclaimAfter})
		loans[peer] = Grant{Asked: h.request.At, Amount: total}
	}
	clear(b.requests)
	return loans
}

// NoteGrant takes a peer's loan. One that answers an earlier ask than the last
// does not replace it.
func (b *Ledger[K]) NoteGrant(peer K, l Grant) {
	if have, ok := b.borrowed[peer]; !ok || l.Asked > have.Asked {
		b.borrowed[peer] = l
	}
}

// Allotment is what may be used now.
func (b *Ledger[K]) Allotment(now clock.Time) Amount {
	s := b.Own(now)
	for _, l := range b.borrowed {
		s = s.Plus(l.Amount)
	}
	return s
}

// Own is the part of Share that nobody lent.
func (b *Ledger[K]) Own(now clock.Time) Amount {
	b.forget(now)
	return combine(b.base, b.outstandingAt(now), func(base, out float64) float64 { return base - out })
}

// Until is when the first loan in use is over; ok if there is any.
func (b *Ledger[K]) Until(now clock.Time) (until clock.Time, ok bool) {
	b.forget(now)
	for _, l := range b.borrowed {
		if end := l.Asked + grantDuration; !ok || end < until {
			until, ok = end, true
		}
	}
	return until, ok
}

// outstandingAt is what is lent to all peers, or may have been before this book began.
func (b *Ledger[K]) outstandingAt(now clock.Time) Amount {
	if now < b.settledAt {
		return b.base.Times(maxGrantedFraction)
	}
	var sum Amount
	for peer := range b.outstanding {
		sum = sum.Plus(b.maxOutstanding(peer))
	}
	return sum
}

// maxOutstanding is the largest loan that a peer may be using: it uses one at a time.
func (b *Ledger[K]) maxOutstanding(peer K) Amount {
	var m Amount
	for _, l := range b.outstanding[peer] {
		m = combine(m, l.amount, math.Max)
	}
	return m
}

// forget drops the loans that are over.
func (b *Ledger[K]) forget(now clock.Time) {
	for peer, ls := range b.outstanding {
		var left []outstandingLoan
		for _, l := range ls {
			if l.back > now {
				left = append(left, l)
			}
		}
		if b.outstanding[peer] = left; len(left) == 0 {
			delete(b.outstanding, peer)
		}
	}
	for peer, l := range b.borrowed {
		if l.Asked+grantDuration <= now {
			delete(b.borrowed, peer)
		}
	}
}
