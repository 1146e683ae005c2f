package heartbeat

import "cmp"

// waitingHeap is a heap.Interface of heartbeats in the order in which they are answered: the
// heartbeat of the machine that was answered longest ago first, then in the order of arrival.
// A machine that was never answered here may have any part of its lease left, so its
// heartbeat comes before those of all machines that were.
type waitingHeap[T any] []QueuedHeartbeat[T]

// Len returns the number of heartbeats.
func (h waitingHeap[T]) Len() int { return len(h) }

// Less reports whether heartbeat i is answered before heartbeat j.
func (h waitingHeap[T]) Less(i, j int) bool {
	byAnswer := cmp.Compare(h[i].lastAnswer, h[j].lastAnswer)
	byArrival := cmp.Compare(h[i].arrival, h[j].arrival)
	return cmp.Or(byAnswer, byArrival) < 0
}

// Swap exchanges two heartbeats.
func (h waitingHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a heartbeat; it is called by package heap.
func (h *waitingHeap[T]) Push(x any) { *h = append(*h, x.(QueuedHeartbeat[T])) }

// Pop removes the last heartbeat; it is called by package heap.
func (h *waitingHeap[T]) Pop() any {
	n := len(*h) - 1
	last := (*h)[n]
	(*h)[n] = QueuedHeartbeat[T]{}
	*h = (*h)[:n]
	return last
}
