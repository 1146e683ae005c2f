// Package ratelimit lets controllers lend one another what they do not need of
// the state service's rates. Each has an equal share to begin with; who needs
// more asks its peers with each regular message, and who needs less lends for a
// few seconds. Whatever is lost or late, the shares in use never sum to more than
// what there is.
//
// Why: a loan answers an ask and names it by the borrower's own clock. The
// borrower uses it only until a while after it asked, the lender does without it
// until a longer while after it lent, which is later: so a loan is never in use
// by both, however long either message took. A controller that has begun anew
// and no longer knows what it lent holds back, for that while, all it may have
// lent.
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

func each(a, b Amount, f func(a, b float64) float64) Amount {
	return Amount{f(a.Requests, b.Requests), f(a.Writes, b.Writes)}
}

// Ask says what a controller could use beyond its own share.
type Ask struct {
	At   clock.Time // by its own clock
	Want Amount
}

// Loan is the answer to an ask.
type Loan struct {
	Asked  clock.Time // the ask's At
	Amount Amount
}

const (
	// loanFor is how long after it asked a borrower may use a loan.
	loanFor = clock.Time(4 * time.Second)
	// backAfter is how long after it lent a lender does without it: longer, for
	// clocks that differ by 0.05% each and for requests on their way.
	backAfter = loanFor + loanFor/100 + clock.Time(500*time.Millisecond)
	// lendMost is the part of its share that a controller lends at the most.
	lendMost = 0.5
	// headroom is how many times what it asked for lately a controller keeps.
	headroom = 2.0
)

// Book is what one controller keeps of its share. Peers are known by a key that
// another process or session of the same peer does not have: an ask is answered
// to whom it came from, by whose clock it counts, or to nobody.
type Book[K comparable] struct {
	base  Amount
	clean clock.Time // nothing lent before this book began is in use from then on
	need  Amount
	asks  map[K]heard
	lent  map[K][]lent
	got   map[K]Loan
}

type heard struct {
	ask Ask
	at  clock.Time
}

type lent struct {
	amount Amount
	back   clock.Time
}

// NewBook begins with an equal share.
func NewBook[K comparable](base Amount, now clock.Time) *Book[K] {
	return &Book[K]{base: base, clean: now + backAfter, asks: map[K]heard{}, lent: map[K][]lent{}, got: map[K]Loan{}}
}

// NothingLent says that nothing can be lent that this book does not know.
func (b *Book[K]) NothingLent() { b.clean = 0 }

// LoanMost is how long a lender may do without what it has lent, at the most.
const LoanMost = time.Duration(backAfter)

// Used takes what was asked of the service in the last second, whether it was
// within the share or not. What is needed grows at once and shrinks slowly.
func (b *Book[K]) Used(last Amount) {
	b.need = each(b.need, last, func(need, last float64) float64 { return math.Max(last, 0.7*need+0.3*last) })
}

// Asks is what to ask all peers for now.
func (b *Book[K]) Asks(now clock.Time) Ask {
	want := each(b.need, b.base, func(need, base float64) float64 { return math.Max(0, headroom*need-base) })
	return Ask{At: now, Want: want}
}

// Heard takes a peer's ask.
func (b *Book[K]) Heard(peer K, a Ask, now clock.Time) { b.asks[peer] = heard{a, now} }

// Lend answers the peers' last asks, each once, out of what is not needed here.
func (b *Book[K]) Lend(now clock.Time) map[K]Loan {
	b.forget(now)
	spare := each(b.base.Times(lendMost), each(b.base, b.need, func(base, need float64) float64 { return base - headroom*need }), math.Min)
	spare = each(spare, b.out(now), func(spare, out float64) float64 { return math.Max(0, spare-out) })
	loans := map[K]Loan{}
	var wanted Amount
	for _, h := range b.asks {
		wanted = wanted.Plus(h.ask.Want)
	}
	part := each(spare, wanted, func(spare, wanted float64) float64 {
		if wanted <= 0 {
			return 0
		}
		return math.Min(1, spare/wanted)
	})
	for peer, h := range b.asks {
		// What it has of an earlier loan it need not be lent once more: the new
		// loan stands in its place.
		had := b.most(peer)
		fresh := each(h.ask.Want, part, func(want, part float64) float64 { return want * part })
		total := each(each(had, fresh, func(a, b float64) float64 { return a + b }), h.ask.Want, math.Min)
		if total == (Amount{}) || now-h.at > loanFor {
			continue
		}
		b.lent[peer] = append(b.lent[peer], lent{total, now + backAfter})
		loans[peer] = Loan{Asked: h.ask.At, Amount: total}
	}
	clear(b.asks)
	return loans
}

// Borrowed takes a peer's loan. One that answers an earlier ask than the last
// does not replace it.
func (b *Book[K]) Borrowed(peer K, l Loan) {
	if have, ok := b.got[peer]; !ok || l.Asked > have.Asked {
		b.got[peer] = l
	}
}

// Share is what may be used now.
func (b *Book[K]) Share(now clock.Time) Amount {
	s := b.Own(now)
	for _, l := range b.got {
		s = s.Plus(l.Amount)
	}
	return s
}

// Own is the part of Share that nobody lent.
func (b *Book[K]) Own(now clock.Time) Amount {
	b.forget(now)
	return each(b.base, b.out(now), func(base, out float64) float64 { return base - out })
}

// Until is when the first loan in use is over; ok if there is any.
func (b *Book[K]) Until(now clock.Time) (until clock.Time, ok bool) {
	b.forget(now)
	for _, l := range b.got {
		if end := l.Asked + loanFor; !ok || end < until {
			until, ok = end, true
		}
	}
	return until, ok
}

// out is what is lent to all peers, or may have been before this book began.
func (b *Book[K]) out(now clock.Time) Amount {
	if now < b.clean {
		return b.base.Times(lendMost)
	}
	var sum Amount
	for peer := range b.lent {
		sum = sum.Plus(b.most(peer))
	}
	return sum
}

// most is the largest loan that a peer may be using: it uses one at a time.
func (b *Book[K]) most(peer K) Amount {
	var m Amount
	for _, l := range b.lent[peer] {
		m = each(m, l.amount, math.Max)
	}
	return m
}

// forget drops the loans that are over.
func (b *Book[K]) forget(now clock.Time) {
	for peer, ls := range b.lent {
		var left []lent
		for _, l := range ls {
			if l.back > now {
				left = append(left, l)
			}
		}
		if b.lent[peer] = left; len(left) == 0 {
			delete(b.lent, peer)
		}
	}
	for peer, l := range b.got {
		if l.Asked+loanFor <= now {
			delete(b.got, peer)
		}
	}
}
