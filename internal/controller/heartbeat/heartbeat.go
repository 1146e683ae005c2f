// Package heartbeat decides whose reports are answered first, and whose not at all,
// when more come than can be answered. A worker that is not answered for its whole
// lease kills all it runs, so the one that was answered longest ago goes first,
// and the one answered last is refused first. It decides only: no clock, no
// socket.
package heartbeat

import (
	"cmp"
	"container/heap"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
)

// Waiting is a report that waits to be answered.
type Waiting[T any] struct {
	Machine   protocol.MachineID
	Heartbeat T
	came      clock.Time
	answered  clock.Time // when its machine was last answered here; 0: never
	number    uint64
}

// line is a heap of reports that wait, in the order of service: who was answered
// longest ago, then who came first. A machine never answered here may have any
// part of its lease left, and goes before all that have been.
type line[T any] []Waiting[T]

func (l line[T]) Len() int { return len(l) }
func (l line[T]) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(l[i].answered, l[j].answered), cmp.Compare(l[i].number, l[j].number)) < 0
}
func (l line[T]) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push is part of heap.Interface.
func (l *line[T]) Push(x any) { *l = append(*l, x.(Waiting[T])) }

// Pop is part of heap.Interface.
func (l *line[T]) Pop() any {
	n := len(*l) - 1
	last := (*l)[n]
	(*l)[n] = Waiting[T]{}
	*l = (*l)[:n]
	return last
}

// Queue is the reports that wait.
type Queue[T any] struct {
	most     int
	patience time.Duration
	waiting  line[T]
	answered map[protocol.MachineID]clock.Time
	number   uint64
}

// New holds at most so many reports. One that has waited longer than patience is
// worth nothing: its worker has given the answer up.
func New[T any](most int, patience time.Duration) *Queue[T] {
	return &Queue[T]{most: most, patience: patience, answered: map[protocol.MachineID]clock.Time{}}
}

// Len is how many wait.
func (d *Queue[T]) Len() int { return len(d.waiting) }

// Add takes a report. If there are too many then, one is returned to be refused
// reportedAt once: perhaps the one that came.
func (d *Queue[T]) Add(now clock.Time, m protocol.MachineID, report T) (refused T, any bool) {
	d.number++
	heap.Push(&d.waiting, Waiting[T]{Machine: m, Heartbeat: report, came: now, answered: d.answered[m], number: d.number})
	if len(d.waiting) <= d.most {
		return refused, false
	}
	last := 0
	for i := range d.waiting {
		if d.waiting.Less(last, i) {
			last = i
		}
	}
	return heap.Remove(&d.waiting, last).(Waiting[T]).Heartbeat, true
}

// Next takes the report to be answered next. Those returned as late are to be
// refusals: nobody waits for their answers.
func (d *Queue[T]) Next(now clock.Time) (next Waiting[T], ok bool, late []T) {
	for len(d.waiting) > 0 {
		w := heap.Pop(&d.waiting).(Waiting[T])
		if time.Duration(now-w.came) <= d.patience {
			return w, true, late
		}
		late = append(late, w.Heartbeat)
	}
	return next, false, late
}

// machinesMost bounds the machines remembered: some times as many as are
// expected. Beyond it, all are treated as never answered for a while.
const machinesMost = 1 << 16

// Answered notes that a machine was answered in a way that renews its lease.
func (d *Queue[T]) Answered(now clock.Time, m protocol.MachineID) {
	if len(d.answered) >= machinesMost {
		clear(d.answered)
	}
	d.answered[m] = now
}
