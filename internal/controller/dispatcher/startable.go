package dispatcher

import (
	"slices"

	"damsonkeel/internal/controller/resource"
)

// startDecision is what happens to an attempt that waits when its machine may start some.
type startDecision uint8

const (
	decisionStart   startDecision = iota
	decisionSkip                  // it waits on; what is behind it may start
	decisionRelease               // it goes back to its owner
	decisionEnd                   // it waits on, and all behind it
)

// takeStartable takes those attempts from the queue that fit the free resources.
func (q *queue) takeStartable() []*entry {
	if q.recordVersion == 0 || q.refusesStarts() || len(q.waiting) == 0 || q.closed() {
		return nil
	}
	var starts []*entry
	free := q.free()
	q.sortWaiting()
	skipped := false // one that does not fit has been passed over
	for i := 0; i < len(q.waiting); {
		e := q.waiting[i]
		switch q.decideStart(e, free, skipped) {
		case decisionEnd:
			return starts
		case decisionSkip:
			skipped = true
			i++
		case decisionRelease:
			q.release(e)
		case decisionStart:
			free = free.Minus(e.need)
			q.removeWaiting(i)
			starts = append(starts, e)
		}
	}
	return starts
}

// decideStart decides on one attempt that waits, given what is free. Once one has been
// passed over, only jobs for which resources are reserved here start.
func (q *queue) decideStart(e *entry, free resource.Amount, skipped bool) startDecision {
	if !q.MayStart(e.task.Job) {
		return decisionEnd // its record has not arrived yet, or that of its end
	}
	if q.outdated(e) {
		return decisionRelease
	}
	job := q.Live[e.task.Job]
	e.need = resource.Need(&job.Job)
	verdict, reserved := q.checkReservations(e, job, free)
	if !free.Covers(e.need) || verdict == startAfterOthers || skipped && !reserved {
		if len(q.Reservations.Holds[q.id]) == 0 && verdict != startAfterOthers {
			return decisionEnd // first come, first served: what is behind waits too
		}
		return decisionSkip
	}
	if verdict == startElsewhere {
		return decisionRelease
	}
	return decisionStart
}

// removeWaiting takes the attempt at an index out of those that wait, to be started.
func (q *queue) removeWaiting(i int) {
	if i == 0 {
		q.waiting = q.waiting[1:] // as a rule; the queue may be long
	} else {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	q.idleSince = q.Now
	q.touch()
}
