package heartbeat

import (
	"container/heap"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
)

// maxMachines is the maximum number of machines for which the time of the last answer is
// recorded. It is several times the expected number of machines. When it is reached, all these
// times are dropped, and each machine counts as never answered until its next answer.
const maxMachines = 1 << 16

// QueuedHeartbeat is a queued heartbeat that has not been answered yet.
type QueuedHeartbeat[T any] struct {
	Machine    protocol.MachineID
	Heartbeat  T
	arrived    clock.Time
	lastAnswer clock.Time // time of the machine's last answer when the heartbeat arrived; 0: never answered
	arrival    uint64     // position in the order of arrival
}

// Queue holds the heartbeats that have not been answered yet, and the times of the last
// answers. It is not safe for concurrent use.
type Queue[T any] struct {
	capacity     int                               // maximum number of waiting heartbeats
	maxWait      time.Duration                     // time after which a waiting heartbeat expires
	waiting      waitingHeap[T]                    // the waiting heartbeats
	lastAnswers  map[protocol.MachineID]clock.Time // time of each machine's last answer
	arrivalCount uint64                            // number of heartbeats added so far
}

// NewQueue returns a queue that holds at most capacity heartbeats. A heartbeat that has been
// queued for longer than maxWait expires: its worker no longer waits for the answer.
func NewQueue[T any](capacity int, maxWait time.Duration) *Queue[T] {
	return &Queue[T]{capacity: capacity, maxWait: maxWait, lastAnswers: map[protocol.MachineID]clock.Time{}}
}

// Len returns the number of queued heartbeats.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Add queues a heartbeat. If the queue exceeds its capacity, it removes and returns the
// heartbeat that would be answered last, which the caller refuses at once, and full is true.
// That may be the heartbeat that was just added.
func (q *Queue[T]) Add(now clock.Time, machine protocol.MachineID, heartbeat T) (refused T, full bool) {
	q.arrivalCount++
	heap.Push(&q.waiting, QueuedHeartbeat[T]{
		Machine:    machine,
		Heartbeat:  heartbeat,
		arrived:    now,
		lastAnswer: q.lastAnswers[machine],
		arrival:    q.arrivalCount,
	})
	if len(q.waiting) <= q.capacity {
		return refused, false
	}
	leastUrgent := 0
	for i := range q.waiting {
		if q.waiting.Less(leastUrgent, i) {
			leastUrgent = i
		}
	}
	return heap.Remove(&q.waiting, leastUrgent).(QueuedHeartbeat[T]).Heartbeat, true
}

// Next removes and returns the heartbeat to be answered next; ok is false if there is none. It
// also removes the expired heartbeats that come before it and returns them. The caller refuses
// these: their workers no longer wait for an answer.
func (q *Queue[T]) Next(now clock.Time) (next QueuedHeartbeat[T], ok bool, expired []T) {
	for len(q.waiting) > 0 {
		w := heap.Pop(&q.waiting).(QueuedHeartbeat[T])
		if now.Since(w.arrived) <= q.maxWait {
			return w, true, expired
		}
		expired = append(expired, w.Heartbeat)
	}
	return next, false, expired
}

// RecordAnswer records that a machine's heartbeat was answered at the time now and its lease
// thereby renewed. Heartbeats of the machine that arrive later are ordered by this time.
func (q *Queue[T]) RecordAnswer(now clock.Time, machine protocol.MachineID) {
	if len(q.lastAnswers) >= maxMachines {
		clear(q.lastAnswers)
	}
	q.lastAnswers[machine] = now
}
