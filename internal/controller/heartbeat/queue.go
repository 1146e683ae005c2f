package heartbeat

import (
	"container/heap"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
)

// maxMachines bounds the machines whose last answers are recorded. It is several times the
// expected number of machines. When it is reached, all records are dropped, and each machine
// counts as never answered until its next answer.
const maxMachines = 1 << 16

// QueuedHeartbeat is a queued heartbeat that has not been answered yet.
type QueuedHeartbeat[T any] struct {
	Machine    protocol.MachineID
	Heartbeat  T
	arrived    clock.Time
	lastAnswer clock.Time // time of the machine's last answer when the heartbeat arrived; 0: never answered
	arrival    uint64     // position in the order of arrival
}

// Queue holds the heartbeats that have not been answered yet.
type Queue[T any] struct {
	capacity     int
	maxWait      time.Duration
	waiting      waitingHeap[T]
	lastAnswers  map[protocol.MachineID]clock.Time
	arrivalCount uint64
}

// NewQueue returns a queue that holds at most capacity heartbeats. A heartbeat that has been
// queued for longer than maxWait expires: its worker no longer waits for the answer.
func NewQueue[T any](capacity int, maxWait time.Duration) *Queue[T] {
	return &Queue[T]{capacity: capacity, maxWait: maxWait, lastAnswers: map[protocol.MachineID]clock.Time{}}
}

// Len returns the number of queued heartbeats.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Add queues a heartbeat. If the queue exceeds its capacity, it removes and returns the
// heartbeat that would be answered last, which the caller refuses at once. That may be the
// heartbeat that was just added.
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

// Next removes and returns the heartbeat to be answered next. The caller refuses the expired
// heartbeats: their workers no longer wait for an answer.
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

// RecordAnswer records that a machine's heartbeat was answered and its lease thereby renewed.
func (q *Queue[T]) RecordAnswer(now clock.Time, machine protocol.MachineID) {
	if len(q.lastAnswers) >= maxMachines {
		clear(q.lastAnswers)
	}
	q.lastAnswers[machine] = now
}
