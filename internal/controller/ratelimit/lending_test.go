package ratelimit

import (
	"os"
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/fixedseed"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }

// member is a controller in a test: its clock starts and runs as it likes.
type member struct {
	*Ledger[name]
	start, fast float64 // true seconds at its start; how much faster its clock runs
	name
}

// name is a member's session.
type name struct{ member, life int }

func (m *member) now(at float64) clock.Time {
	return clock.Time((at - m.start) * m.fast * float64(time.Second))
}

var base = Amount{Requests: 45, Writes: 15}

// TestSumNeverAboveLimit: however long messages take, whoever begins anew, and
// however clocks run apart, the shares in use never sum to more than the limit.
func TestSumNeverAboveLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type letter struct {
			from, to name
			ask      Request
			loan     *Grant
		}
		var members []*member
		begin := func(at float64, i, life int) *member {
			m := &member{start: at, fast: 1 + float64(rapid.IntRange(0, 5).Draw(t, "fast"))/10000, name: name{i, life}}
			m.Ledger = NewLedger[name](base, m.now(at))
			return m
		}
		for i := range 3 {
			members = append(members, begin(-10, i, 0))
		}
		var wire []letter
		at := 0.0
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			at += float64(rapid.IntRange(1, 12).Draw(t, "tenths")) / 10
			i := rapid.IntRange(0, 2).Draw(t, "member")
			m := members[i]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				m.NoteUse(Amount{float64(rapid.IntRange(0, 120).Draw(t, "requests")), float64(rapid.IntRange(0, 40).Draw(t, "writes"))})
			case 1, 2:
				loans := m.GrantRequests(m.now(at))
				for _, to := range members {
					l := letter{from: m.name, to: to.name, ask: m.Request(m.now(at))}
					if loan, ok := loans[to.name]; ok {
						l.loan = &loan
					}
					if to != m {
						wire = append(wire, l)
					}
				}
			case 3, 4, 5:
				if len(wire) > 0 {
					k := rapid.IntRange(0, len(wire)-1).Draw(t, "which")
					l := wire[k]
					if rapid.Bool().Draw(t, "once") {
						wire = append(wire[:k:k], wire[k+1:]...)
					}
					if to := members[l.to.member]; to.name == l.to { // else of a session that is over
						to.NoteRequest(l.from, l.ask, to.now(at))
						if l.loan != nil {
							to.NoteGrant(l.from, *l.loan)
						}
					}
				}
			case 6:
				if rapid.IntRange(0, 3).Draw(t, "crash") == 0 {
					members[i] = begin(at, i, m.life+1)
				}
			}
			var sum Amount
			for _, m := range members {
				sum = sum.Plus(m.Allotment(m.now(at)))
			}
			if sum.Requests > 3*base.Requests+1e-6 || sum.Writes > 3*base.Writes+1e-6 {
				t.Fatalf("%v in use, %v of each", sum, base)
			}
		}
	})
}

// TestNeedIsMet: one that does nearly all the work gets what the others do not
// need, soon, and they get it back when they need it.
func TestNeedIsMet(t *testing.T) {
	members := []*Ledger[int]{}
	for range 3 {
		members = append(members, NewLedger[int](base, 0))
	}
	second := func(n int, used ...Amount) {
		now := clock.Time(n) * clock.Time(time.Second)
		for i, m := range members {
			m.NoteUse(used[i])
			loans := m.GrantRequests(now)
			for to, other := range members {
				if to == i {
					continue
				}
				other.NoteRequest(i, m.Request(now), now)
				if l, ok := loans[to]; ok {
					other.NoteGrant(i, l)
				}
			}
		}
	}
	idle, busy := Amount{5, 1}, Amount{70, 25}
	for n := 10; n < 20; n++ {
		second(n, busy, idle, idle)
	}
	if s := members[0].Allotment(clock.Time(20 * time.Second)); s.Requests < 80 || s.Writes < 28 {
		t.Errorf("the busy one may use %v of its own %v", s, base)
	}
	for n := 20; n < 32; n++ {
		second(n, idle, Amount{40, 14}, Amount{40, 14})
	}
	for _, m := range members[1:] {
		if s := m.Allotment(clock.Time(32 * time.Second)); s.Requests < base.Requests || s.Writes < base.Writes {
			t.Errorf("one that needs its share has %v of %v", s, base)
		}
	}
	for n := 32; n < 40; n++ { // all silent: nothing is lent for longer
		members[0].NoteUse(busy)
	}
	if s := members[0].Allotment(clock.Time(40 * time.Second)); s.Requests > base.Requests+1e-9 {
		t.Errorf("%v in use without anybody's loan", s)
	}
}
