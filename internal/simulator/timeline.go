package simulator

import (
	"container/heap"
	"time"
)

// timeline holds the simulated time and the events that are to come.
type timeline struct {
	now      time.Duration
	sequence int // of the last event
	queue    eventQueue
}

// event is something that happens at a time. Events of the same time happen in the order
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

// Less reports whether an event is before another.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap swaps two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event; for package heap only.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event; for package heap only.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// after does something after a time.
func (t *timeline) after(d time.Duration, do func()) {
	t.sequence++
	heap.Push(&t.queue, event{t.now + d, t.sequence, do})
}

// runEvents runs all events until a time, which may add others.
func (t *timeline) runEvents(until time.Duration) {
	for len(t.queue) > 0 && t.queue[0].at <= until {
		e := heap.Pop(&t.queue).(event)
		t.now = max(t.now, e.at)
		e.do()
	}
}
