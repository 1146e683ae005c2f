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

// TestOrderOfAnswersAndRefusals: the next heartbeat is always that of the machine that was
// answered longest ago, and the refused one that of the machine that was answered most
// recently. No heartbeat is lost, and none is answered after its worker's timeout.
func TestOrderOfAnswersAndRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type heartbeat struct{ number, answered, arrived int }
		const capacity, maxWait = 5, 10
		q := NewQueue[heartbeat](capacity, maxWait)
		lastAnswer := map[int]int{}
		var waiting []heartbeat // in the order in which they are to be answered
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
			if rapid.Bool().Draw(t, "arrives") {
				n++
				machine := rapid.IntRange(0, 7).Draw(t, "machine")
				h := heartbeat{n, lastAnswer[machine], now}
				waiting = append(waiting, h)
				slices.SortFunc(waiting, order)
				if refused, full := q.Add(clock.Time(now), protocol.MachineID(fmt.Sprint(machine)), h); full {
					if refused != waiting[len(waiting)-1] {
						t.Fatalf("%+v refused, want %+v", refused, waiting[len(waiting)-1])
					}
					remove(refused)
				}
				continue
			}
			next, ok, expired := q.Next(clock.Time(now))
			for _, h := range expired {
				if now-h.arrived <= maxWait {
					t.Fatalf("%+v expired at %d", h, now)
				}
				remove(h)
			}
			if !ok {
				if len(waiting) > 0 {
					t.Fatalf("%d heartbeats wait, but none is answered", len(waiting))
				}
				continue
			}
			if next.Heartbeat != waiting[0] || now-next.Heartbeat.arrived > maxWait {
				t.Fatalf("%+v answered, want %+v", next.Heartbeat, waiting[0])
			}
			remove(next.Heartbeat)
			machine := 0
			fmt.Sscan(string(next.Machine), &machine)
			lastAnswer[machine] = now
			q.RecordAnswer(clock.Time(now), next.Machine)
		}
	})
}

// heartbeatServer answers the heartbeats of workers. add may refuse one immediately.
type heartbeatServer interface {
	add(now clock.Time, worker int) (refused int, full bool)
	next(now clock.Time) (worker int, ok bool)
	answered(now clock.Time, worker int)
}

// fifoServer is a heartbeatServer that answers in the order of arrival and refuses new
// heartbeats when its queue is full.
type fifoServer struct{ waiting []int }

func (f *fifoServer) add(_ clock.Time, worker int) (int, bool) {
	if len(f.waiting) >= 256 {
		return worker, true
	}
	f.waiting = append(f.waiting, worker)
	return 0, false
}

func (f *fifoServer) next(clock.Time) (worker int, ok bool) {
	if len(f.waiting) == 0 {
		return 0, false
	}
	worker, f.waiting = f.waiting[0], f.waiting[1:]
	return worker, true
}

func (f *fifoServer) answered(clock.Time, int) {}

// queueServer is a heartbeatServer that answers in the order of a Queue.
type queueServer struct{ *Queue[int] }

// machineOf returns the ID of a worker's machine.
func machineOf(worker int) protocol.MachineID { return protocol.MachineID(fmt.Sprint(worker)) }

func (s queueServer) add(now clock.Time, worker int) (int, bool) {
	return s.Add(now, machineOf(worker), worker)
}

func (s queueServer) next(now clock.Time) (int, bool) {
	w, ok, _ := s.Next(now)
	return w.Heartbeat, ok
}
func (s queueServer) answered(now clock.Time, worker int) { s.RecordAnswer(now, machineOf(worker)) }

// countExpiredLeases simulates workers that all send their heartbeats to one server, which
// answers perSecond of them per second, and counts the leases that expire. A worker sends a
// heartbeat 5 s after the last answer, waits 4 s for the answer, and retries 1 to 2 s after a
// refusal or a timeout.
func countExpiredLeases(s heartbeatServer, workers, perSecond int) int {
	const (
		step     = clock.Time(10 * time.Millisecond)
		lease    = clock.Time(31 * time.Second)
		duration = clock.Time(2 * time.Minute)
	)
	rng := rand.New(rand.NewPCG(1, 1))
	next := make([]clock.Time, workers)    // when each worker sends its next heartbeat
	sent := make([]clock.Time, workers)    // when each worker sent its unanswered heartbeat; 0: none
	renewed := make([]clock.Time, workers) // when each worker sent its last answered heartbeat
	for i := range workers {
		next[i] = clock.Time(rng.Int64N(int64(5 * time.Second)))
	}
	retry := func(now clock.Time) clock.Time {
		return now + clock.Time(time.Second) + clock.Time(rng.Int64N(int64(time.Second)))
	}
	expired := 0
	for now := step; now < duration; now += step {
		for i := range workers {
			switch {
			case sent[i] != 0 && now-sent[i] > clock.Time(4*time.Second):
				sent[i], next[i] = 0, retry(now) // timeout
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

// TestNoLeaseExpiresWhenOverloaded: no lease expires when all workers send their heartbeats to
// one controller that can answer a third of them, because each worker needs only one answer
// in 31 s. When the heartbeats are answered in the order of arrival, many leases expire.
func TestNoLeaseExpiresWhenOverloaded(t *testing.T) {
	const workers, perSecond = 3000, 200
	if expired := countExpiredLeases(queueServer{NewQueue[int](256, 3500*time.Millisecond)}, workers, perSecond); expired > 0 {
		t.Errorf("%d leases expired", expired)
	}
	if expired := countExpiredLeases(&fifoServer{}, workers, perSecond); expired < 100 {
		t.Errorf("%d leases expired in the order of arrival, want at least 100: the load does not distinguish the two orders", expired)
	}
}
