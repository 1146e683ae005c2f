package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// preemptAfter is how long an attempt waits at the head of its queue before
// others are stopped for it: until then it may be moved to room elsewhere.
const preemptAfter = 3 * time.Second

// startBy is the time by which an attempt should start: the first that can
// still be kept of what its class and its team's guarantee ask for, else when
// it has to start to be done in time.
func (k *Dispatcher) startBy(e *entry, l *clusterstate.LiveJob) clock.Time {
	first := k.FinishBy(l) - clock.Time(1.5*e.estimate*float64(time.Second)) // owners' estimates are often wrong by half
	for _, o := range k.Objectives() {
		asked := o.Kind == "wait" && o.Class == l.Class || o.Kind == "guarantee" && e.level.Guaranteed()
		if by := l.Since + clock.Time(o.WithinS*float64(time.Second)); asked && by >= k.Now {
			first = min(first, by)
		}
	}
	return first
}

// endsIn is how long a running attempt is likely to go on. What it overruns
// says that its estimate is too low, not that it ends now.
func (k *Dispatcher) endsIn(e *entry) time.Duration {
	estimate := time.Duration(e.estimate * float64(time.Second))
	left := estimate
	if e.state == protocol.TaskRunning {
		left -= k.Since(e.runningSince)
	}
	return max(left, estimate/4)
}

// timeUntilFits is how long it is likely to take until what runs on a machine ends by
// itself and leaves room for a task.
func (k *Dispatcher) timeUntilFits(q *queue, free, n resource.Amount) time.Duration {
	type ending struct {
		in   time.Duration
		need resource.Amount
	}
	var ends []ending
	for _, e := range q.entries {
		if e.sent && !e.ended() && !(e.present && e.kill) {
			ends = append(ends, ending{k.endsIn(e), e.need})
		}
	}
	slices.SortFunc(ends, func(a, b ending) int { return cmp.Compare(a.in, b.in) })
	in := time.Duration(0)
	for _, e := range ends {
		if free.Covers(n) {
			break
		}
		free, in = free.Plus(e.need), e.in
	}
	return in
}

// preempt stops attempts for those at the head of a queue that have waited: of
// lower priority, or beyond their team's guarantee if the one that waits is
// within its own. Those that can save, then those that ran least, go first;
// nothing is stopped unless the one that waits then fits. Nor is anything
// stopped where room comes by itself in time: what is stopped has to be done
// redeliver, and where many wait that makes all of them later. A task of a gang
// does not wait: all others of it would.
func (k *Dispatcher) preempt(q *queue) {
	if len(q.waiting) == 0 || q.recordVersion == 0 || q.draining || q.noticeSeconds != nil || q.quarantined {
		return
	}
	if k.computeState(q); !q.preemptible {
		return
	}
	k.sortWaiting(q)
	free := q.freeSoon()
	for _, head := range q.waiting {
		j := k.Live[head.task.Job]
		if j == nil {
			return
		}
		if later, _ := k.mayStartOn(q, head, j, resource.Capacity(q.info)); later != startNow {
			return // it would not start there
		}
		if !head.inGang && (k.Since(head.queuedSince) < preemptAfter || k.After(k.timeUntilFits(q, free, head.need)) <= k.startBy(head, j)) {
			return
		}
		var ok bool
		if free, ok = k.preemptFor(q, head, free); !ok {
			return
		}
		if !head.inGang {
			return
		}
		free = free.Minus(head.need)
	}
}

// preemptFor stops what has to be stopped for one attempt, given what is free,
// and returns what is free then.
func (k *Dispatcher) preemptFor(q *queue, head *entry, free resource.Amount) (resource.Amount, bool) {
	if free.Covers(head.need) {
		return free, true
	}
	j := k.Live[head.task.Job]
	var victims []*entry
	for _, e := range ordered.Tasks(q.entries) {
		other := k.Live[e.task.Job]
		switch {
		case !e.present || e.ended() || other == nil || e.kill:
		case other.Priority.Rank() < j.Priority.Rank() && (head.level > e.level || other.Team == j.Team),
			head.level.Guaranteed() && !e.level.Guaranteed() && other.Team != j.Team:
			victims = append(victims, e)
		}
	}
	k.sortVictims(victims)
	var chosen []*entry
	for _, e := range victims {
		if free.Covers(head.need) {
			break
		}
		free = free.Plus(e.need)
		chosen = append(chosen, e)
	}
	if !free.Covers(head.need) {
		return free, false
	}
	for _, e := range chosen {
		k.stopFor(q, e)
		k.Log.Debug("stopped for a more urgent task", "machine", q.id, "task", e.task, "for", head.task)
	}
	return free, true
}

// sortVictims puts those that can save first, then those that ran least.
func (k *Dispatcher) sortVictims(victims []*entry) {
	saves := func(e *entry) int {
		if k.Live[e.task.Job].CheckpointS > 0 {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(victims, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(saves(a), saves(b)), cmp.Compare(b.runningSince, a.runningSince), cmp.Compare(b.queuedSince, a.queuedSince))
	})
}

// stopFor has an attempt stopped for others, with time to save.
func (k *Dispatcher) stopFor(q *queue, e *entry) {
	e.kill, e.graceS = true, k.checkpointSeconds(e)
	k.touch(q)
	k.requestDirect(q)
}
