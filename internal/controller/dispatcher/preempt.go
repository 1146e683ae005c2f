package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
)

// preemptAfter is how long an attempt waits at the head of its queue before other attempts
// are preempted for it. Until then its owner may move it to free resources elsewhere.
const preemptAfter = 3 * time.Second

// preemption is one pass over a queue that stops attempts in favor of waiting ones.
type preemption struct {
	*queue
	// free is the amount of resources that are free once all attempts that are being
	// stopped have ended.
	free resource.Amount
}

// preempt stops attempts in favor of those at the head of the queue that have waited for
// preemptAfter. It stops attempts of lower priority, and attempts beyond their team's
// guarantee if the waiting one is within its own. Attempts that can save a checkpoint are
// stopped first, then those that have run least. Nothing is stopped unless the waiting
// attempt then fits. Nor is anything stopped where enough resources become free in time by
// themselves: a stopped attempt has to run again, and where many attempts wait that delays
// all of them. Neither the waiting time nor that check applies to a task of a gang, since
// all other tasks of the gang would wait with it.
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
			return // the attempt would not start on this machine
		}
		if !head.inGang && !p.isDue(head, job) {
			return
		}
		if freed := p.freeResourcesFor(head, job); !freed || !head.inGang {
			return
		}
		p.free = p.free.Minus(head.need)
	}
}

// isDue reports whether an attempt has waited for preemptAfter and, without preemption,
// would fit only after the time by which it should start (startDeadline).
func (p *preemption) isDue(e *entry, job *clusterstate.LiveJob) bool {
	return p.Since(e.queuedSince) >= preemptAfter && p.After(p.timeUntilFits(e.need)) > p.startDeadline(e, job)
}

// timeUntilFits returns the expected time until enough attempts on the machine end by
// themselves to free the resources that a task needs.
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
	free, wait := p.free, time.Duration(0)
	for _, e := range endings {
		if free.Covers(need) {
			break
		}
		free, wait = free.Plus(e.need), e.in
	}
	return wait
}

// freeResourcesFor stops as many attempts as are needed to fit an attempt of a job, and
// reports whether the attempt fits then. If it would not fit, nothing is stopped.
func (p *preemption) freeResourcesFor(head *entry, job *clusterstate.LiveJob) bool {
	if p.free.Covers(head.need) {
		return true
	}
	free := p.free
	var toStop []*entry
	for _, e := range p.victims(head, job) {
		if free.Covers(head.need) {
			break
		}
		free = free.Plus(e.need)
		toStop = append(toStop, e)
	}
	if !free.Covers(head.need) {
		return false
	}
	p.free = free
	for _, e := range toStop {
		p.preemptAttempt(e)
		p.Log.Debug("preempted for a more urgent task", "machine", p.id, "task", e.task, "for", head.task)
	}
	return true
}

// victims lists the attempts that may be stopped for the attempt head of a job, in the
// order in which to stop them: present attempts of live jobs that are not being killed, and
// that either have a lower priority and are of a lower level or of the same team, or are
// beyond their team's guarantee while head is within that of another team.
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

// sortVictims sorts attempts that can save a checkpoint first, then those that have run
// least.
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

// preemptAttempt marks an attempt to be killed, with enough grace time to save a
// checkpoint, and schedules direct commands.
func (q *queue) preemptAttempt(e *entry) {
	e.kill, e.graceSeconds = true, q.stopSeconds(e)
	q.markChanged()
	q.requestDirect()
}
