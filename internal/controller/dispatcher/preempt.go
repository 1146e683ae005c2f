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

const (
	// preemptAfter is how long an attempt waits at the head of its queue before others
	// are stopped for it: until then it may be moved to free resources elsewhere.
	preemptAfter = 3 * time.Second
	// estimateMargin is how much longer than estimated a task is assumed to run: owners'
	// estimates are often wrong by half.
	estimateMargin = 1.5
	// overrunDivisor is the part of its estimate that a task is assumed to run on for at
	// least.
	overrunDivisor = 4
)

// preempt stops attempts for those at the head of the queue that have waited: of lower
// priority, or beyond their team's guarantee if the one that waits is within its own.
// Those that can save a checkpoint, then those that ran least, go first; nothing is
// stopped unless the one that waits then fits. Nor is anything stopped where resources
// become free by themselves in time: what is stopped has to be run again, and where many
// wait that makes all of them later. A task of a gang does not wait: all others of it
// would.
func (q *queue) preempt() {
	if len(q.waiting) == 0 || q.recordVersion == 0 || q.refusesStarts() {
		return
	}
	if q.computeState(); !q.preemptible {
		return
	}
	q.sortWaiting()
	free := q.freeAfterStops()
	for _, head := range q.waiting {
		job := q.Live[head.task.Job]
		if job == nil {
			return
		}
		if verdict, _ := q.checkReservations(head, job, resource.Capacity(q.machineType)); verdict != startNow {
			return // it would not start there
		}
		if !head.inGang && !q.preemptionDue(head, job, free) {
			return
		}
		var fits bool
		if free, fits = q.preemptFor(head, free); !fits {
			return
		}
		if !head.inGang {
			return
		}
		free = free.Minus(head.need)
	}
}

// preemptionDue reports whether an attempt has waited long enough, and would start too
// late if nothing were stopped for it.
func (q *queue) preemptionDue(e *entry, job *clusterstate.LiveJob, free resource.Amount) bool {
	return q.Since(e.queuedSince) >= preemptAfter && q.After(q.timeUntilFits(free, e.need)) > q.startBy(e, job)
}

// startBy is the time by which an attempt should start: the first objective that can
// still be met of its class and its team's guarantee, else when it has to start to be
// done by its deadline.
func (q *queue) startBy(e *entry, job *clusterstate.LiveJob) clock.Time {
	first := q.FinishBy(job) - clock.Time(estimateMargin*e.estimate*float64(time.Second))
	for _, o := range q.Objectives() {
		applies := o.Kind == "wait" && o.Class == job.Class || o.Kind == "guarantee" && e.level.Guaranteed()
		if by := job.Since + clock.Time(o.WithinS*float64(time.Second)); applies && by >= q.Now {
			first = min(first, by)
		}
	}
	return first
}

// remainingTime is how long a running attempt is likely to go on. That it overruns its
// estimate says that the estimate is too low, not that it ends now.
func (q *queue) remainingTime(e *entry) time.Duration {
	estimate := time.Duration(e.estimate * float64(time.Second))
	remaining := estimate
	if e.state == protocol.TaskRunning {
		remaining -= q.Since(e.runningSince)
	}
	return max(remaining, estimate/overrunDivisor)
}

// timeUntilFits is how long it is likely to take until what runs on the machine ends by
// itself and leaves enough resources for a task.
func (q *queue) timeUntilFits(free, need resource.Amount) time.Duration {
	type ending struct {
		in   time.Duration
		need resource.Amount
	}
	var endings []ending
	for _, e := range q.entries {
		stopping := e.present && e.kill
		if e.sent && !e.ended() && !stopping {
			endings = append(endings, ending{q.remainingTime(e), e.need})
		}
	}
	slices.SortFunc(endings, func(a, b ending) int { return cmp.Compare(a.in, b.in) })
	in := time.Duration(0)
	for _, e := range endings {
		if free.Covers(need) {
			break
		}
		free, in = free.Plus(e.need), e.in
	}
	return in
}

// preemptFor stops what has to be stopped for one attempt, given what is free, and
// returns what is free then, and whether the attempt fits.
func (q *queue) preemptFor(head *entry, free resource.Amount) (resource.Amount, bool) {
	if free.Covers(head.need) {
		return free, true
	}
	var chosen []*entry
	for _, e := range q.preemptionVictims(head) {
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
		q.stopForOthers(e)
		q.Log.Debug("preempted for a more urgent task", "machine", q.id, "task", e.task, "for", head.task)
	}
	return free, true
}

// preemptionVictims lists what may be stopped for an attempt, in the order to stop it.
func (q *queue) preemptionVictims(head *entry) []*entry {
	job := q.Live[head.task.Job]
	var victims []*entry
	for _, e := range ordered.Tasks(q.entries) {
		other := q.Live[e.task.Job]
		switch {
		case !e.present || e.ended() || other == nil || e.kill:
		case other.Priority.Rank() < job.Priority.Rank() && (head.level > e.level || other.Team == job.Team),
			head.level.Guaranteed() && !e.level.Guaranteed() && other.Team != job.Team:
			victims = append(victims, e)
		}
	}
	q.sortVictims(victims)
	return victims
}

// sortVictims puts those that can save a checkpoint first, then those that ran least.
func (q *queue) sortVictims(victims []*entry) {
	checkpointRank := func(e *entry) int {
		if q.Live[e.task.Job].CheckpointS > 0 {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(victims, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(checkpointRank(a), checkpointRank(b)), cmp.Compare(b.runningSince, a.runningSince), cmp.Compare(b.queuedSince, a.queuedSince))
	})
}

// stopForOthers has an attempt stopped for others, with time to save a checkpoint.
func (q *queue) stopForOthers(e *entry) {
	e.kill, e.graceSeconds = true, q.stopSeconds(e)
	q.touch()
	q.requestDirect()
}

// stopSeconds is how long an attempt may take to end once it is stopped.
func (q *queue) stopSeconds(e *entry) float64 {
	if job := q.Live[e.task.Job]; job != nil {
		return clusterstate.GraceS(&job.Job)
	}
	return 1
}
