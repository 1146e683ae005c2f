package heartbeat

import (
	"container/heap"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
)

// maxMachines bounds the machines whose last answers are remembered: several times as many
// as are expected. Beyond it all are forgotten, and treated as never answered for a while.
const maxMachines = 1 << 16

// Waiting is a heartbeat that waits for its answer.
type Waiting[T any] struct {
	Machine   protocol.MachineID
	Heartbeat T
	arrived   clock.Time
	answered  clock.Time // when its machine was last answered here; 0: never
	number    uint64     // counts arrivals
}

// Queue is the heartbeats that wait for their answers.
type Queue[T any] struct {
	capacity int
	patience time.Duration
	waiting  waitingHeap[T]
	answered map[protocol.MachineID]clock.Time
	arrivals uint64
}

// NewQueue returns a queue that holds at most so many heartbeats. One that has waited longer
// than patience is worth nothing: its worker waits for the answer no more.
func NewQueue[T any](capacity int, patience time.Duration) *Queue[T] {
	return &Queue[T]{capacity: capacity, patience: patience, answered: map[protocol.MachineID]clock.Time{}}
}

// Len returns the number of heartbeats that wait.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Add queues a heartbeat. If the queue is full, one is returned to be refused at once,
// which may be the one that has just arrived.
func (q *Queue[T]) Add(now clock.Time, machine protocol.MachineID, heartbeat T) (refused T, full bool) {
	q.arrivals++
	heap.Push(&q.waiting, Waiting[T]{
		Machine:   machine,
		Heartbeat: heartbeat,
		arrived:   now,
		answered:  q.answered[machine],
		number:    q.arrivals,
	})
	if len(q.waiting) <= q.capacity {
		return refused, false
	}
	last := 0
	for i := range q.waiting {
		if q.waiting.Less(last, i) {
			last = i
		}
	}
	return heap.Remove(&q.waiting, last).(Waiting[T]).Heartbeat, true
}

// Next removes the heartbeat to be answered next. Those returned as expired are to be
// refused: their workers wait no more.
func (q *Queue[T]) Next(now clock.Time) (next Waiting[T], ok bool, expired []T) {
	for len(q.waiting) > 0 {
		w := heap.Pop(&q.waiting).(Waiting[T])
		if now.Since(w.arrived) <= q.patience {
			return w, true, expired
		}
		expired = append(expired, w.Heartbeat)
	}
	return next, false, expired
}

// Answered records that a machine was answered in a way that renews its lease.
func (q *Queue[T]) Answered(now clock.Time, machine protocol.MachineID) {
	if len(q.answered) >= maxMachines {
		clear(q.answered)
	}
	q.answered[machine] = now
}
