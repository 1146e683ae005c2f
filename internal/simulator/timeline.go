package simulator

import (
	"container/heap"
	"time"
)

// timeline holds the simulated time, counted from the start of the world, and the pending
// events.
type timeline struct {
	now      time.Duration
	sequence int // sequence number of the last event added
	queue    eventQueue
}

// event is a function to run at a simulated time. Events with the same time run in the order
// in which they were added.
type event struct {
	at       time.Duration
	sequence int
	do       func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

// Len returns the number of events.
func (q eventQueue) Len() int { return len(q) }

// Less reports whether event i runs before event j.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap swaps two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event; called only by package heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event; called only by package heap.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// after schedules do to run after the duration d.
func (t *timeline) after(d time.Duration, do func()) {
	t.sequence++
	heap.Push(&t.queue, event{t.now + d, t.sequence, do})
}

// runEvents runs all events up to and including the time until, in order, and advances the
// simulated time to each. Events may add further events.
func (t *timeline) runEvents(until time.Duration) {
	for len(t.queue) > 0 && t.queue[0].at <= until {
		e := heap.Pop(&t.queue).(event)
		t.now = max(t.now, e.at)
		e.do()
	}
}
