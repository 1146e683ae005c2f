// Package desk decides whose reports are answered first, and whose not at all,
// when more come than can be answered. A worker that is not answered for its whole
// lease kills all it runs, so the one that was answered longest ago goes first,
// and the one answered last is refused first. It decides only: no clock, no
// socket.
package desk

import (
	"time"

	"damsonkeel/internal/protocol"
)

// Time is a steady clock, in nanoseconds.
type Time int64

// Waiting is a report that waits to be answered.
type Waiting[T any] struct {
	Machine  protocol.MachineID
	Report   T
	came     Time
	answered Time // when its machine was last answered here; 0: never
	number   uint64
}

// before is the order of service: who was answered longest ago, then who came
// first. A machine never answered here may have any part of its lease left, and
// goes before all that have been.
func (w *Waiting[T]) before(v *Waiting[T]) bool {
	if w.answered != v.answered {
		return w.answered < v.answered
	}
	return w.number < v.number
}

// Desk is the reports that wait.
type Desk[T any] struct {
	most     int
	patience time.Duration
	waiting  []Waiting[T] // a heap by before
	answered map[protocol.MachineID]Time
	number   uint64
}

// New holds at most so many reports. One that has waited longer than patience is
// worth nothing: its worker has given the answer up.
func New[T any](most int, patience time.Duration) *Desk[T] {
	return &Desk[T]{most: most, patience: patience, answered: map[protocol.MachineID]Time{}}
}

// Len is how many wait.
func (d *Desk[T]) Len() int { return len(d.waiting) }

// Add takes a report. If there are too many then, one is returned to be refused
// at once: perhaps the one that came.
func (d *Desk[T]) Add(now Time, m protocol.MachineID, report T) (refused T, any bool) {
	d.number++
	d.push(Waiting[T]{Machine: m, Report: report, came: now, answered: d.answered[m], number: d.number})
	if len(d.waiting) <= d.most {
		return refused, false
	}
	last := 0
	for i := range d.waiting {
		if d.waiting[last].before(&d.waiting[i]) {
			last = i
		}
	}
	return d.remove(last).Report, true
}

// Next takes the report to be answered next. Those returned as late are to be
// refused: nobody waits for their answers.
func (d *Desk[T]) Next(now Time) (next Waiting[T], ok bool, late []T) {
	for len(d.waiting) > 0 {
		w := d.remove(0)
		if time.Duration(now-w.came) <= d.patience {
			return w, true, late
		}
		late = append(late, w.Report)
	}
	return next, false, late
}

// machinesMost bounds the machines remembered: some times as many as are
// expected. Beyond it, all are treated as never answered for a while.
const machinesMost = 1 << 16

// Answered notes that a machine was answered in a way that renews its lease.
func (d *Desk[T]) Answered(now Time, m protocol.MachineID) {
	if len(d.answered) >= machinesMost {
		clear(d.answered)
	}
	d.answered[m] = now
}

func (d *Desk[T]) push(w Waiting[T]) {
	d.waiting = append(d.waiting, w)
	d.up(len(d.waiting) - 1)
}

func (d *Desk[T]) remove(i int) Waiting[T] {
	w := d.waiting[i]
	n := len(d.waiting) - 1
	d.waiting[i] = d.waiting[n]
	d.waiting[n] = Waiting[T]{}
	if d.waiting = d.waiting[:n]; i < n {
		d.down(i)
		d.up(i)
	}
	return w
}

func (d *Desk[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !d.waiting[i].before(&d.waiting[parent]) {
			return
		}
		d.waiting[i], d.waiting[parent] = d.waiting[parent], d.waiting[i]
		i = parent
	}
}

func (d *Desk[T]) down(i int) {
	for {
		least := i
		for _, child := range []int{2*i + 1, 2*i + 2} {
			if child < len(d.waiting) && d.waiting[child].before(&d.waiting[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		d.waiting[i], d.waiting[least] = d.waiting[least], d.waiting[i]
		i = least
	}
}
