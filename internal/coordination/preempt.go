package coordination

import (
	"cmp"
	"slices"
	"time"

	"damsonkeel/internal/protocol"
)

// preemptAfter is how long an attempt waits at the head of its queue before
// others are stopped for it: until then it may be moved to room elsewhere.
const preemptAfter = 3 * time.Second

// guaranteedJobs are the owned jobs that fit into their team's guarantee,
// together with the team's earlier unfinished jobs.
func (c *Core) guaranteedJobs() map[protocol.JobID]bool {
	in := map[protocol.JobID]bool{}
	used := map[protocol.Team]resources{}
	jobs := slices.Clone(c.jobsInOrder())
	slices.SortStableFunc(jobs, func(a, b *ownedJob) int { return cmp.Compare(a.SubmittedMS, b.SubmittedMS) })
	for _, o := range jobs {
		t, ok := c.settings.Team(o.Team)
		if !ok || t.CPUs == 0 && t.GPUs == 0 {
			continue
		}
		n := float64(o.Tasks - o.nDone)
		u := used[o.Team].plus(resources{cpus: n * o.CPUs, gpus: n * o.GPUs})
		used[o.Team] = u
		in[o.ID] = u.cpus <= t.CPUs+slack && u.gpus <= t.GPUs+slack
	}
	return in
}

// preempt stops attempts for the head of a queue that has waited: of lower
// priority, or beyond their team's guarantee if the head is within its own.
// Those that can save, then those that ran least, go first; nothing is stopped
// unless the head then fits.
func (c *Core) preempt(q *queue) {
	if len(q.waiting) == 0 || q.epoch == 0 || q.draining || q.notice != nil || q.suspect {
		return
	}
	c.sortWaiting(q)
	head := q.waiting[0]
	j := c.live[head.task.Job]
	if j == nil || c.since(head.since) < preemptAfter {
		return
	}
	free := q.free()
	var victims []*entry
	for _, e := range tasksInOrder(q.entries) {
		k := c.live[e.task.Job]
		switch {
		case !e.present || e.ended() || k == nil:
		case e.kill:
			free = free.plus(e.need) // on its way out already
		case k.Priority.Rank() < j.Priority.Rank() && (head.guaranteed || !e.guaranteed || k.Team == j.Team),
			head.guaranteed && !e.guaranteed && k.Team != j.Team:
			victims = append(victims, e)
		}
	}
	saves := func(e *entry) int {
		if c.live[e.task.Job].CheckpointS > 0 {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(victims, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(saves(a), saves(b)), cmp.Compare(b.since, a.since))
	})
	size := need(&j.Job)
	var chosen []*entry
	for _, e := range victims {
		if free.covers(size) {
			break
		}
		free = free.plus(e.need)
		chosen = append(chosen, e)
	}
	if !free.covers(size) {
		return
	}
	for _, e := range chosen {
		e.kill, e.graceS = true, 2*c.live[e.task.Job].SaveS+1
		c.wake(q)
		c.log.Debug("stopped for a more urgent task", "machine", q.id, "task", e.task, "for", head.task)
	}
}
