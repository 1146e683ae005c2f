package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
)

// preemptAfter is how long an attempt waits at the head of its queue before others are
// stopped for it: until then it may be moved to free resources elsewhere.
const preemptAfter = 3 * time.Second

// preemption is one pass over a queue in which attempts are stopped for those that wait.
type preemption struct {
	*queue
	// free is what is free once everything has ended that is being stopped.
	free resource.Amount
}

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
	p := preemption{queue: q, free: q.freeAfterStops()}
	for _, head := range q.waiting {
		job := q.Live[head.task.Job]
		if job == nil {
			return
		}
		if verdict, _ := q.checkReservations(head, job, resource.Capacity(q.machineType)); verdict != startNow {
			return // it would not start there
		}
		if !head.inGang && !p.isDue(head, job) {
			return
		}
		if fits := p.makeFit(head, job); !fits || !head.inGang {
			return
		}
		p.free = p.free.Minus(head.need)
	}
}

// isDue reports whether an attempt has waited long enough, and would start too late if
// nothing were stopped for it.
func (p *preemption) isDue(e *entry, job *clusterstate.LiveJob) bool {
	return p.Since(e.queuedSince) >= preemptAfter && p.After(p.timeUntilFits(e.need)) > p.startBy(e, job)
}

// timeUntilFits is how long it is likely to take until what runs on the machine ends by
// itself and leaves enough resources for a task.
func (p *preemption) timeUntilFits(need resource.Amount) time.Duration {
	type ending struct {
		in   time.Duration
		need resource.Amount
	}
	var endings []ending
	for _, e := range p.entries {
		stopping := e.present && e.kill
		if e.sent && !e.ended() && !stopping {
			endings = append(endings, ending{p.remainingTime(e), e.need})
		}
	}
	slices.SortFunc(endings, func(a, b ending) int { return cmp.Compare(a.in, b.in) })
	free, in := p.free, time.Duration(0)
	for _, e := range endings {
		if free.Covers(need) {
			break
		}
		free, in = free.Plus(e.need), e.in
	}
	return in
}

// makeFit stops what has to be stopped for an attempt of a job, and reports whether the
// attempt fits then. If it would not, nothing is stopped.
func (p *preemption) makeFit(head *entry, job *clusterstate.LiveJob) bool {
	if p.free.Covers(head.need) {
		return true
	}
	free := p.free
	var chosen []*entry
	for _, e := range p.victims(head, job) {
		if free.Covers(head.need) {
			break
		}
		free = free.Plus(e.need)
		chosen = append(chosen, e)
	}
	if !free.Covers(head.need) {
		return false
	}
	p.free = free
	for _, e := range chosen {
		p.stopForOthers(e)
		p.Log.Debug("preempted for a more urgent task", "machine", p.id, "task", e.task, "for", head.task)
	}
	return true
}

// victims lists what may be stopped for an attempt of a job, in the order to stop it.
func (p *preemption) victims(head *entry, job *clusterstate.LiveJob) []*entry {
	var victims []*entry
	for _, e := range ordered.Tasks(p.entries) {
		other := p.Live[e.task.Job]
		switch {
		case !e.present || e.ended() || other == nil || e.kill:
		case other.Priority.Rank() < job.Priority.Rank() && (head.level > e.level || other.Team == job.Team),
			head.level.Guaranteed() && !e.level.Guaranteed() && other.Team != job.Team:
			victims = append(victims, e)
		}
	}
	p.sortVictims(victims)
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
