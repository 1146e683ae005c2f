package heartbeat

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/fixedseed"
	"damsonkeel/internal/protocol"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }

// TestOrder: of those that wait the next is always the one answered longest ago,
// the one refused the one answered last, none is lost, and none is answered after
// its worker has given up.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type report struct{ id, answered, came int }
		const most, patience = 5, 10
		d := New[report](most, patience)
		last := map[int]int{}
		var held []report // what should be waiting
		order := func(a, b report) int {
			if a.answered != b.answered {
				return a.answered - b.answered
			}
			return a.id - b.id
		}
		drop := func(r report) {
			i := slices.Index(held, r)
			if i < 0 {
				t.Fatalf("%+v was not waiting", r)
			}
			held = slices.Delete(held, i, i+1)
		}
		for now, n := 1, 0; now < 60; now++ {
			if rapid.Bool().Draw(t, "comes") {
				n++
				m := rapid.IntRange(0, 7).Draw(t, "machine")
				r := report{n, last[m], now}
				held = append(held, r)
				slices.SortFunc(held, order)
				if refused, any := d.Add(clock.Time(now), protocol.MachineID(fmt.Sprint(m)), r); any {
					if refused != held[len(held)-1] {
						t.Fatalf("%+v refused, want %+v", refused, held[len(held)-1])
					}
					drop(refused)
				}
				continue
			}
			next, ok, late := d.Next(clock.Time(now))
			for _, r := range late {
				if now-r.came <= patience {
					t.Fatalf("%+v given up at %d", r, now)
				}
				drop(r)
			}
			if !ok {
				if len(held) > 0 {
					t.Fatalf("%d wait, none is answered", len(held))
				}
				continue
			}
			if next.Heartbeat != held[0] || now-next.Heartbeat.came > patience {
				t.Fatalf("%+v answered, want %+v", next.Heartbeat, held[0])
			}
			drop(next.Heartbeat)
			m := 0
			fmt.Sscan(string(next.Machine), &m)
			last[m] = now
			d.Answered(clock.Time(now), next.Machine)
		}
	})
}

// server answers workers' reports, some refused at once.
type server interface {
	add(now clock.Time, worker int) (refused int, any bool)
	next(now clock.Time) (worker int, ok bool)
	answered(now clock.Time, worker int)
}

// fifo is a server that answers in the order of arrival.
type fifo struct{ waiting []int }

func (l *fifo) add(_ clock.Time, worker int) (int, bool) {
	if len(l.waiting) >= 256 {
		return worker, true
	}
	l.waiting = append(l.waiting, worker)
	return 0, false
}

func (l *fifo) next(clock.Time) (worker int, ok bool) {
	if len(l.waiting) == 0 {
		return 0, false
	}
	worker, l.waiting = l.waiting[0], l.waiting[1:]
	return worker, true
}

func (l *fifo) answered(clock.Time, int) {}

// byLease is a server with a queue.
type byLease struct{ *Queue[int] }

func name(worker int) protocol.MachineID { return protocol.MachineID(fmt.Sprint(worker)) }

func (b byLease) add(now clock.Time, worker int) (int, bool) { return b.Add(now, name(worker), worker) }
func (b byLease) next(now clock.Time) (int, bool) {
	w, ok, _ := b.Next(now)
	return w.Heartbeat, ok
}
func (b byLease) answered(now clock.Time, worker int) { b.Answered(now, name(worker)) }

// lapses plays workers that all report to one server, which answers so many a
// second, and counts the leases that run out. Workers report every 5 s, wait 4 s
// for an answer, and come again 1 s after a refusal or a second one elsewhere.
func lapses(s server, workers, perSecond int) int {
	const (
		step   = clock.Time(10 * time.Millisecond)
		lease  = clock.Time(31 * time.Second)
		length = clock.Time(2 * time.Minute)
	)
	rng := rand.New(rand.NewPCG(1, 1))
	next, sent, renewed := make([]clock.Time, workers), make([]clock.Time, workers), make([]clock.Time, workers)
	for i := range workers {
		next[i] = clock.Time(rng.Int64N(int64(5 * time.Second)))
	}
	again := func(now clock.Time) clock.Time {
		return now + clock.Time(time.Second) + clock.Time(rng.Int64N(int64(time.Second)))
	}
	lost := 0
	for now := step; now < length; now += step {
		for i := range workers {
			switch {
			case sent[i] != 0 && now-sent[i] > clock.Time(4*time.Second):
				sent[i], next[i] = 0, again(now) // given up
			case sent[i] == 0 && now >= next[i]:
				sent[i] = now
				if refused, any := s.add(now, i); any {
					sent[refused], next[refused] = 0, again(now)
				}
			}
			if now-renewed[i] > lease {
				lost++
				renewed[i] = now
			}
		}
		for range perSecond * int(step) / int(time.Second) {
			if i, ok := s.next(now); ok && sent[i] != 0 {
				renewed[i], sent[i], next[i] = sent[i], 0, now+clock.Time(5*time.Second)
				s.answered(now, i)
			}
		}
	}
	return lost
}

// TestLeasesAreKept: where all workers come to one controller that can answer a
// third of what they report, no lease runs out: each needs an answer in 31 s
// restrict. In the order of arrival many do.
func TestLeasesAreKept(t *testing.T) {
	const workers, perSecond = 3000, 200
	if lost := lapses(byLease{New[int](256, 3500*time.Millisecond)}, workers, perSecond); lost > 0 {
		t.Errorf("%d leases ran out", lost)
	}
	if lost := lapses(&fifo{}, workers, perSecond); lost < 100 {
		t.Errorf("%d leases ran out in the order of arrival: the test shows nothing", lost)
	}
}
