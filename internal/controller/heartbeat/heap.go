package heartbeat

import "cmp"

// waitingHeap is a heap.Interface of heartbeats in the order of service: the machine that
// was answered longest ago first, then in the order of arrival. A machine that was never
// answered here may have any part of its lease left, and goes before all others.
type waitingHeap[T any] []Waiting[T]

// Len returns the number of heartbeats.
func (h waitingHeap[T]) Len() int { return len(h) }

// Less reports whether heartbeat i is served before j.
func (h waitingHeap[T]) Less(i, j int) bool {
	byAnswer := cmp.Compare(h[i].answered, h[j].answered)
	byArrival := cmp.Compare(h[i].number, h[j].number)
	return cmp.Or(byAnswer, byArrival) < 0
}

// Swap exchanges two heartbeats.
func (h waitingHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a heartbeat; it is called by package heap.
func (h *waitingHeap[T]) Push(x any) { *h = append(*h, x.(Waiting[T])) }

// Pop removes the last heartbeat; it is called by package heap.
func (h *waitingHeap[T]) Pop() any {
	n := len(*h) - 1
	last := (*h)[n]
	(*h)[n] = Waiting[T]{}
	*h = (*h)[:n]
	return last
}
