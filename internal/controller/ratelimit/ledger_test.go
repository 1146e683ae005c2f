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

// member is a controller whose clock has its own zero and speed.
type member struct {
	*Ledger[session]
	session
	start, speed float64 // true time in seconds at which its clock is zero; clock seconds per true second
}

// session identifies one process of a member.
type session struct{ member, restarts int }

// now returns the time on the member's clock at a true time in seconds.
func (m *member) now(at float64) clock.Time {
	return clock.Time((at - m.start) * m.speed * float64(time.Second))
}

// envelope is a message in flight.
type envelope struct {
	from, to session
	request  Request
	grant    *Grant
}

var base = Amount{Requests: 45, Writes: 15}

// TestAllotmentsNeverExceedLimit: while messages are delayed, repeated and reordered,
// controllers restart, and clocks differ by up to 0.05%, the allotments in use never sum
// to more than the limit.
func TestAllotmentsNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []*member
		start := func(at float64, i, restarts int) *member {
			speed := 1 + float64(rapid.IntRange(0, 5).Draw(t, "fast"))/10000
			m := &member{session: session{i, restarts}, start: at, speed: speed}
			m.Ledger = NewLedger[session](base, m.now(at))
			return m
		}
		for i := range 3 {
			members = append(members, start(-10, i, 0))
		}
		var inFlight []envelope
		at := 0.0
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			at += float64(rapid.IntRange(1, 12).Draw(t, "tenths")) / 10
			i := rapid.IntRange(0, 2).Draw(t, "member")
			m := members[i]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				m.NoteUse(Amount{float64(rapid.IntRange(0, 120).Draw(t, "requests")), float64(rapid.IntRange(0, 40).Draw(t, "writes"))})
			case 1, 2:
				grants := m.GrantRequests(m.now(at))
				for _, to := range members {
					e := envelope{from: m.session, to: to.session, request: m.Request(m.now(at))}
					if grant, ok := grants[to.session]; ok {
						e.grant = &grant
					}
					if to != m {
						inFlight = append(inFlight, e)
					}
				}
			case 3, 4, 5:
				if len(inFlight) > 0 {
					k := rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")
					e := inFlight[k]
					if rapid.Bool().Draw(t, "once") {
						inFlight = append(inFlight[:k:k], inFlight[k+1:]...)
					}
					if to := members[e.to.member]; to.session == e.to { // otherwise the addressed session has ended
						to.NoteRequest(e.from, e.request, to.now(at))
						if e.grant != nil {
							to.NoteGrant(e.from, *e.grant)
						}
					}
				}
			case 6:
				if rapid.IntRange(0, 3).Draw(t, "crash") == 0 {
					members[i] = start(at, i, m.restarts+1)
				}
			}
			var sum Amount
			for _, m := range members {
				sum = sum.Plus(m.Allotment(m.now(at)))
			}
			if sum.Requests > 3*base.Requests+1e-6 || sum.Writes > 3*base.Writes+1e-6 {
				t.Fatalf("allotments sum to %v, with a base of %v each of 3", sum, base)
			}
		}
	})
}

// TestBusyControllerBorrowsAndReturnsRates: a controller with nearly all of the load borrows
// what the others do not need within 10 s, and the others have their base again within
// 12 s when they need it. Without messages all grants expire.
func TestBusyControllerBorrowsAndReturnsRates(t *testing.T) {
	var members []*Ledger[int]
	for range 3 {
		members = append(members, NewLedger[int](base, 0))
	}
	runSecond := func(n int, used ...Amount) {
		now := clock.Time(n) * clock.Time(time.Second)
		for i, m := range members {
			m.NoteUse(used[i])
			grants := m.GrantRequests(now)
			for to, other := range members {
				if to == i {
					continue
				}
				other.NoteRequest(i, m.Request(now), now)
				if grant, ok := grants[to]; ok {
					other.NoteGrant(i, grant)
				}
			}
		}
	}
	idle, busy := Amount{5, 1}, Amount{70, 25}
	for n := 10; n < 20; n++ {
		runSecond(n, busy, idle, idle)
	}
	if s := members[0].Allotment(clock.Time(20 * time.Second)); s.Requests < 80 || s.Writes < 28 {
		t.Errorf("the busy controller may use %v with a base of %v, want nearly twice its base", s, base)
	}
	for n := 20; n < 32; n++ {
		runSecond(n, idle, Amount{40, 14}, Amount{40, 14})
	}
	for _, m := range members[1:] {
		if s := m.Allotment(clock.Time(32 * time.Second)); s.Requests < base.Requests || s.Writes < base.Writes {
			t.Errorf("a controller that needs its whole base may use %v, want %v", s, base)
		}
	}
	for n := 32; n < 40; n++ { // no messages: all grants expire
		members[0].NoteUse(busy)
	}
	if s := members[0].Allotment(clock.Time(40 * time.Second)); s.Requests > base.Requests+1e-9 {
		t.Errorf("the busy controller may use %v without a grant, want its base", s)
	}
}
