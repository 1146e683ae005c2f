package coordination

import (
	"cmp"
	"slices"
	"time"

	"damsonkeel/internal/coordination/room"
	"damsonkeel/internal/protocol"
)

// preemptAfter is how long an attempt waits at the head of its queue before
// others are stopped for it: until then it may be moved to room elsewhere.
const preemptAfter = 3 * time.Second

// setLevels tells which owned jobs fit into their team's guarantee, together
// with the team's earlier unfinished jobs.
func (c *Core) setLevels() {
	used := map[protocol.Team]room.Amount{}
	jobs := slices.Clone(c.jobsInOrder())
	slices.SortStableFunc(jobs, func(a, b *ownedJob) int { return cmp.Compare(a.SubmittedMS, b.SubmittedMS) })
	for _, o := range jobs {
		t, ok := c.settings.Team(o.Team)
		if !ok || !c.guarantees(o.Team) {
			c.setLevel(o, room.LevelOf(o.Priority, false))
			continue
		}
		n := float64(o.Tasks - o.nDone)
		u := used[o.Team].Plus(room.Amount{CPUs: n * o.CPUs, GPUs: n * o.GPUs})
		used[o.Team] = u
		c.setLevel(o, room.LevelOf(o.Priority, u.CPUs <= t.CPUs+room.Slack && u.GPUs <= t.GPUs+room.Slack))
	}
}

// setLevel sets a job's level, and has it told if anybody reckons with it.
func (c *Core) setLevel(o *ownedJob, l room.Level) {
	if o.level != l && c.promised.any {
		c.relays.jobs.Touch(o.ID)
	}
	o.level = l
}

// startBy is the time by which an attempt should start: the first that can
// still be kept of what its class and its team's guarantee ask for, else when
// it has to start to be done in time.
func (c *Core) startBy(e *entry, l *liveJob) Time {
	first := c.doneBy(l) - Time(1.5*e.estimate*float64(time.Second)) // owners' estimates are often wrong by half
	for _, o := range c.settings.Site.Objectives {
		asked := o.Kind == "wait" && o.Class == l.Class || o.Kind == "guarantee" && e.level.Guaranteed()
		if by := l.since + Time(o.WithinS*float64(time.Second)); asked && by >= c.now {
			first = min(first, by)
		}
	}
	return first
}

// endsIn is how long a running attempt is likely to go on. What it overruns
// says that its estimate is too low, not that it ends now.
func (c *Core) endsIn(e *entry) time.Duration {
	estimate := time.Duration(e.estimate * float64(time.Second))
	left := estimate
	if e.state == protocol.TaskRunning {
		left -= c.since(e.runs)
	}
	return max(left, estimate/4)
}

// roomIn is how long it is likely to take until what runs on a machine ends by
// itself and leaves room for a task.
func (c *Core) roomIn(q *queue, free, n room.Amount) time.Duration {
	type ending struct {
		in   time.Duration
		need room.Amount
	}
	var ends []ending
	for _, e := range q.entries {
		if e.sent && !e.ended() && !(e.present && e.kill) {
			ends = append(ends, ending{c.endsIn(e), e.need})
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
// again, and where many wait that makes all of them later. A task of a gang
// does not wait: all others of it would.
func (c *Core) preempt(q *queue) {
	if len(q.waiting) == 0 || q.epoch == 0 || q.draining || q.notice != nil || q.suspect {
		return
	}
	if c.reckonState(q); !q.contested {
		return
	}
	c.sortWaiting(q)
	free := q.freeSoon()
	for _, head := range q.waiting {
		j := c.live[head.task.Job]
		if j == nil {
			return
		}
		if later, _ := c.mayStartOn(q, head, j, room.Capacity(q.info)); later != startNow {
			return // it would not start there
		}
		if !head.together && (c.since(head.since) < preemptAfter || c.after(c.roomIn(q, free, head.need)) <= c.startBy(head, j)) {
			return
		}
		var ok bool
		if free, ok = c.preemptFor(q, head, free); !ok {
			return
		}
		if !head.together {
			return
		}
		free = free.Minus(head.need)
	}
}

// preemptFor stops what has to be stopped for one attempt, given what is free,
// and returns what is free then.
func (c *Core) preemptFor(q *queue, head *entry, free room.Amount) (room.Amount, bool) {
	if free.Covers(head.need) {
		return free, true
	}
	j := c.live[head.task.Job]
	var victims []*entry
	for _, e := range tasksInOrder(q.entries) {
		k := c.live[e.task.Job]
		switch {
		case !e.present || e.ended() || k == nil || e.kill:
		case k.Priority.Rank() < j.Priority.Rank() && (head.level > e.level || k.Team == j.Team),
			head.level.Guaranteed() && !e.level.Guaranteed() && k.Team != j.Team:
			victims = append(victims, e)
		}
	}
	c.sortVictims(victims)
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
		c.stopFor(q, e)
		c.log.Debug("stopped for a more urgent task", "machine", q.id, "task", e.task, "for", head.task)
	}
	return free, true
}

// sortVictims puts those that can save first, then those that ran least.
func (c *Core) sortVictims(victims []*entry) {
	saves := func(e *entry) int {
		if c.live[e.task.Job].CheckpointS > 0 {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(victims, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(saves(a), saves(b)), cmp.Compare(b.runs, a.runs), cmp.Compare(b.since, a.since))
	})
}

// stopFor has an attempt stopped for others, with time to save.
func (c *Core) stopFor(q *queue, e *entry) {
	e.kill, e.graceS = true, c.saveS(e)
	c.touch(q)
	c.wake(q)
}
