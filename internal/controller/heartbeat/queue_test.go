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

// TestOrder: the next heartbeat is always the one of the machine answered longest ago, the
// refused one that of the machine answered last, none is lost, and none is answered after
// its worker has given up.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type heartbeat struct{ number, answered, arrived int }
		const capacity, patience = 5, 10
		q := NewQueue[heartbeat](capacity, patience)
		lastAnswer := map[int]int{}
		var waiting []heartbeat // in the order of service
		order := func(a, b heartbeat) int {
			if a.answered != b.answered {
				return a.answered - b.answered
			}
			return a.number - b.number
		}
		remove := func(h heartbeat) {
			i := slices.Index(waiting, h)
			if i < 0 {
				t.Fatalf("%+v was not waiting", h)
			}
			waiting = slices.Delete(waiting, i, i+1)
		}
		for now, n := 1, 0; now < 60; now++ {
			if rapid.Bool().Draw(t, "comes") {
				n++
				m := rapid.IntRange(0, 7).Draw(t, "machine")
				h := heartbeat{n, lastAnswer[m], now}
				waiting = append(waiting, h)
				slices.SortFunc(waiting, order)
				if refused, full := q.Add(clock.Time(now), protocol.MachineID(fmt.Sprint(m)), h); full {
					if refused != waiting[len(waiting)-1] {
						t.Fatalf("%+v refused, want %+v", refused, waiting[len(waiting)-1])
					}
					remove(refused)
				}
				continue
			}
			next, ok, expired := q.Next(clock.Time(now))
			for _, h := range expired {
				if now-h.arrived <= patience {
					t.Fatalf("%+v expired at %d", h, now)
				}
				remove(h)
			}
			if !ok {
				if len(waiting) > 0 {
					t.Fatalf("%d wait, none is answered", len(waiting))
				}
				continue
			}
			if next.Heartbeat != waiting[0] || now-next.Heartbeat.arrived > patience {
				t.Fatalf("%+v answered, want %+v", next.Heartbeat, waiting[0])
			}
			remove(next.Heartbeat)
			m := 0
			fmt.Sscan(string(next.Machine), &m)
			lastAnswer[m] = now
			q.Answered(clock.Time(now), next.Machine)
		}
	})
}

// server answers workers' heartbeats, and refuses some at once.
type server interface {
	add(now clock.Time, worker int) (refused int, full bool)
	next(now clock.Time) (worker int, ok bool)
	answered(now clock.Time, worker int)
}

// fifo is a server that answers in the order of arrival, and refuses when it is full.
type fifo struct{ waiting []int }

func (f *fifo) add(_ clock.Time, worker int) (int, bool) {
	if len(f.waiting) >= 256 {
		return worker, true
	}
	f.waiting = append(f.waiting, worker)
	return 0, false
}

func (f *fifo) next(clock.Time) (worker int, ok bool) {
	if len(f.waiting) == 0 {
		return 0, false
	}
	worker, f.waiting = f.waiting[0], f.waiting[1:]
	return worker, true
}

func (f *fifo) answered(clock.Time, int) {}

// byLease is a server that answers in the order of a Queue.
type byLease struct{ *Queue[int] }

// name returns the machine of a worker.
func name(worker int) protocol.MachineID { return protocol.MachineID(fmt.Sprint(worker)) }

func (b byLease) add(now clock.Time, worker int) (int, bool) { return b.Add(now, name(worker), worker) }

func (b byLease) next(now clock.Time) (int, bool) {
	w, ok, _ := b.Next(now)
	return w.Heartbeat, ok
}
func (b byLease) answered(now clock.Time, worker int) { b.Answered(now, name(worker)) }

// expiredLeases plays workers that all send their heartbeats to one server, which answers
// so many a second, and counts the leases that expire. Workers send a heartbeat every 5 s,
// wait 4 s for its answer, and try again 1 to 2 s after a refusal or a timeout.
func expiredLeases(s server, workers, perSecond int) int {
	const (
		step   = clock.Time(10 * time.Millisecond)
		lease  = clock.Time(31 * time.Second)
		length = clock.Time(2 * time.Minute)
	)
	rng := rand.New(rand.NewPCG(1, 1))
	next := make([]clock.Time, workers)    // when each sends its next heartbeat
	sent := make([]clock.Time, workers)    // when each sent the one that waits for its answer
	renewed := make([]clock.Time, workers) // when each sent the last one that was answered
	for i := range workers {
		next[i] = clock.Time(rng.Int64N(int64(5 * time.Second)))
	}
	retry := func(now clock.Time) clock.Time {
		return now + clock.Time(time.Second) + clock.Time(rng.Int64N(int64(time.Second)))
	}
	expired := 0
	for now := step; now < length; now += step {
		for i := range workers {
			switch {
			case sent[i] != 0 && now-sent[i] > clock.Time(4*time.Second):
				sent[i], next[i] = 0, retry(now) // given up
			case sent[i] == 0 && now >= next[i]:
				sent[i] = now
				if refused, full := s.add(now, i); full {
					sent[refused], next[refused] = 0, retry(now)
				}
			}
			if now-renewed[i] > lease {
				expired++
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
	return expired
}

// TestLeasesAreKept: where all workers use one controller that can answer a third of their
// heartbeats, no lease expires: each needs one answer in 31 s only. In the order of arrival
// many do.
func TestLeasesAreKept(t *testing.T) {
	const workers, perSecond = 3000, 200
	if expired := expiredLeases(byLease{NewQueue[int](256, 3500*time.Millisecond)}, workers, perSecond); expired > 0 {
		t.Errorf("%d leases expired", expired)
	}
	if expired := expiredLeases(&fifo{}, workers, perSecond); expired < 100 {
		t.Errorf("%d leases expired in the order of arrival: the test shows nothing", expired)
	}
}
