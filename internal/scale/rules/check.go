package rules

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"damsonkeel/internal/protocol"
)

const (
	// unansweredMost is how long every poll for a job may fail while most others
	// get answers.
	unansweredMost = 90 * time.Second
	// mostAnswered is the part of the polls that has to be answered for that.
	mostAnswered = 0.5
	// amountSlack forgives the rounding of sums of processors.
	amountSlack = 1e-6
)

// Check returns every broken rule, in order of time.
func Check(terms Terms, machines []MachineEvent, users []UserEvent) []Violation {
	c := newChecker(terms, users)
	events := slices.Clone(machines)
	slices.SortStableFunc(events, func(a, b MachineEvent) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(leavesFirst(a), leavesFirst(b)))
	})
	for _, e := range events {
		c.machineEvent(e)
	}
	c.checkLeftovers()
	c.checkAnswers(users)
	c.checkUnanswered(users)
	if c.starts == 0 {
		c.broken(NothingRan, 0, "no task was started")
	}
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.violations
}

// leavesFirst orders what is seen at the same moment: what leaves does so before
// what comes.
func leavesFirst(e MachineEvent) int {
	if e.Kind == TaskOff || e.Kind == MachineGone {
		return 0
	}
	return 1
}

// checker replays what was seen.
type checker struct {
	terms      Terms
	jobs       map[protocol.JobID]protocol.Job
	cancelled  map[protocol.JobID]time.Duration // when a user was first told
	asked      map[protocol.JobID]time.Duration // when a user first asked to cancel
	machines   map[protocol.MachineID]MachineEvent
	holds      map[protocol.MachineID]map[protocol.TaskID]bool
	on         map[protocol.TaskID]protocol.MachineID
	used       map[protocol.Team]float64
	limits     map[protocol.Team]float64 // at the beginning
	changes    map[protocol.Team][]LimitChange
	ordered    map[protocol.TaskID]time.Duration // when its start was last taken
	done       map[protocol.TaskID]time.Duration // when it first completed
	last       time.Duration
	starts     int
	violations []Violation
}

func newChecker(terms Terms, users []UserEvent) *checker {
	c := &checker{
		terms: terms, jobs: map[protocol.JobID]protocol.Job{}, cancelled: map[protocol.JobID]time.Duration{}, asked: map[protocol.JobID]time.Duration{},
		machines: map[protocol.MachineID]MachineEvent{}, holds: map[protocol.MachineID]map[protocol.TaskID]bool{}, on: map[protocol.TaskID]protocol.MachineID{},
		used: map[protocol.Team]float64{}, limits: map[protocol.Team]float64{},
		changes: map[protocol.Team][]LimitChange{}, ordered: map[protocol.TaskID]time.Duration{}, done: map[protocol.TaskID]time.Duration{},
	}
	for _, t := range terms.Teams {
		c.limits[t.Name] = t.MaxCPUs
	}
	for _, change := range terms.Limits {
		c.changes[change.Team] = append(c.changes[change.Team], change)
	}
	for _, e := range users {
		switch {
		case e.Kind == UserUploads:
			c.jobs[e.Job] = e.Details
		case e.Kind == UserCancels:
			earliest(c.asked, e.Job, e.Asked)
		}
		if e.Status == 200 && e.State == protocol.JobCancelled {
			earliest(c.cancelled, e.Job, e.Answered)
		}
	}
	return c
}

// earliest keeps the earlier of two times.
func earliest(times map[protocol.JobID]time.Duration, job protocol.JobID, at time.Duration) {
	if was, ok := times[job]; !ok || at < was {
		times[job] = at
	}
}

func (c *checker) broken(rule Rule, at time.Duration, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

func (c *checker) machineEvent(e MachineEvent) {
	c.last = max(c.last, e.At)
	switch e.Kind {
	case MachineUp:
		c.machines[e.Machine] = e
		c.holds[e.Machine] = map[protocol.TaskID]bool{}
	case MachineGone:
		for task := range c.holds[e.Machine] {
			c.taskOff(e.Machine, task, e.At)
		}
	case TaskOrdered:
		c.ordered[e.Task] = e.At
	case TaskOn:
		c.taskOn(e)
	case TaskOff:
		c.taskOff(e.Machine, e.Task, e.At)
		if e.Cause == protocol.EndDone {
			c.taskDone(e)
		}
	}
}

// taskDone notes a completed task; tasks of a gang complete together.
func (c *checker) taskDone(e MachineEvent) {
	job := c.jobs[e.Task.Job]
	if job.Kind != protocol.KindGang {
		c.noteDone(e.Task, e.At)
		return
	}
	for i := range job.Tasks {
		c.noteDone(protocol.TaskID{Job: job.ID, Index: i}, e.At)
	}
}

func (c *checker) noteDone(task protocol.TaskID, at time.Duration) {
	if _, before := c.done[task]; !before {
		c.done[task] = at
	}
}

// taskOn checks the rules about starts.
func (c *checker) taskOn(e MachineEvent) {
	c.starts++
	if other, there := c.on[e.Task]; there && other != e.Machine {
		c.broken(RanTwice, e.At, "%v starts on %s while on %s", e.Task, e.Machine, other)
	}
	job, known := c.jobs[e.Task.Job]
	if !known {
		c.broken(WrongPlace, e.At, "%v starts, which nobody has submitted", e.Task)
		return
	}
	if told, ok := c.cancelled[job.ID]; ok && e.At > told+c.cancelWithin() {
		c.broken(RanCancelled, e.At, "%v starts on %s %v after its cancellation was confirmed", e.Task, e.Machine, e.At-told)
	}
	c.place(e, job)
	if c.holds[e.Machine][e.Task] {
		return
	}
	c.hold(e, job)
}

// hold counts a task on its machine.
func (c *checker) hold(e MachineEvent, job protocol.Job) {
	if c.holds[e.Machine] == nil {
		c.holds[e.Machine] = map[protocol.TaskID]bool{}
	}
	c.holds[e.Machine][e.Task] = true
	c.on[e.Task] = e.Machine
	c.used[job.Team] += job.CPUs
	if limit := c.limitFor(e, job.Team); limit > 0 && c.used[job.Team] > limit+amountSlack {
		c.broken(Quota, e.At, "%s uses %v processors of at most %v", job.Team, c.used[job.Team], limit)
	}
}

// limitFor is the highest limit of a team by which a task that comes onto its machine
// may have been ordered; 0: none.
func (c *checker) limitFor(e MachineEvent, team protocol.Team) float64 {
	ordered, known := c.ordered[e.Task]
	if !known {
		ordered = e.At
	}
	since := ordered - time.Duration(c.terms.WithinS*float64(time.Second))
	limit := c.limits[team]
	for _, change := range c.changes[team] {
		switch {
		case change.Asked > e.At:
		case change.Answered < since:
			limit = change.MaxCPUs // the one before is in force no more
		case change.MaxCPUs == 0 || limit == 0:
			limit = 0
		default:
			limit = max(limit, change.MaxCPUs)
		}
	}
	return limit
}

// place checks where a task starts.
func (c *checker) place(e MachineEvent, job protocol.Job) {
	machine := c.machines[e.Machine]
	switch {
	case machine.Spot && !job.Spot:
		c.broken(WrongPlace, e.At, "%v starts on the spot machine %s", e.Task, e.Machine)
	case job.Zone != "" && machine.Zone != job.Zone:
		c.broken(WrongPlace, e.At, "%v starts in zone %s", e.Task, machine.Zone)
	case len(job.Types) > 0 && !slices.Contains(job.Types, machine.Type):
		c.broken(WrongPlace, e.At, "%v starts on a %s", e.Task, machine.Type)
	}
	if job.OneZone || job.Spread {
		c.placeAmong(e, job, machine.Zone)
	}
}

// placeAmong checks the zones of a job's tasks at a start.
func (c *checker) placeAmong(e MachineEvent, job protocol.Job, zone protocol.Zone) {
	zones := map[protocol.Zone]int{zone: 1}
	for i := range job.Tasks {
		task := protocol.TaskID{Job: job.ID, Index: i}
		if on, there := c.on[task]; there && task != e.Task {
			zones[c.machines[on].Zone]++
		}
	}
	if job.OneZone && len(zones) > 1 {
		c.broken(WrongPlace, e.At, "%v starts in zone %s, others are elsewhere", e.Task, zone)
	}
	if job.Spread && zones[zone] > int(job.Tasks+1)/2 {
		c.broken(WrongPlace, e.At, "%v: %d of %d tasks in zone %s", e.Task, zones[zone], job.Tasks, zone)
	}
}

// taskOff checks that a task has not stayed too long.
func (c *checker) taskOff(machine protocol.MachineID, task protocol.TaskID, at time.Duration) {
	if !c.holds[machine][task] {
		return
	}
	delete(c.holds[machine], task)
	if c.on[task] == machine {
		delete(c.on, task)
	}
	job := c.jobs[task.Job]
	c.used[job.Team] -= job.CPUs
	c.checkStay(machine, task, at)
}

func (c *checker) checkStay(machine protocol.MachineID, task protocol.TaskID, until time.Duration) {
	if told, ok := c.cancelled[task.Job]; ok && until > told+c.cancelWithin() {
		c.broken(RanCancelled, until, "%v is on %s %v after its cancellation was confirmed", task, machine, until-told)
	}
}

func (c *checker) cancelWithin() time.Duration {
	return time.Duration(c.terms.CancelS * float64(time.Second))
}

// checkLeftovers looks at what is still on machines at the end.
func (c *checker) checkLeftovers() {
	for task, machine := range c.on {
		c.checkStay(machine, task, c.last)
	}
}

// answers is what has been said of one job, by when it was said.
type answers struct {
	accepted, final time.Duration
	finalState      protocol.JobState
	isAccepted      bool
	isFinal         bool
}

// checkAnswers holds every answer against those that came before its question.
func (c *checker) checkAnswers(users []UserEvent) {
	said := map[protocol.JobID]*answers{}
	events := slices.Clone(users)
	slices.SortStableFunc(events, func(a, b UserEvent) int { return cmp.Compare(a.Answered, b.Answered) })
	for _, e := range events {
		if e.Kind == UserUploads || e.Status == 0 {
			continue
		}
		if said[e.Job] == nil {
			said[e.Job] = &answers{}
		}
		c.checkAnswer(e, said[e.Job])
	}
}

func (c *checker) checkAnswer(e UserEvent, before *answers) {
	accepted := before.isAccepted && before.accepted <= e.Asked
	success := e.Status == 200 || e.Status == 201
	_, submitted := c.jobs[e.Job]
	switch {
	case e.Status == 200 && !submitted:
		c.broken(Invented, e.Answered, "%s was never submitted", e.Job)
	case e.Status == 404 && accepted:
		c.broken(Forgotten, e.Answered, "%s was accepted and gets 404", e.Job)
	case e.Kind == UserSubmits && accepted && (e.Status == 400 || e.Status == 422):
		c.broken(Forgotten, e.Answered, "%s was accepted and is refused with %d", e.Job, e.Status)
	}
	if !success {
		return
	}
	final := before.isFinal && before.final <= e.Asked
	if final && e.State != before.finalState {
		c.broken(WentBack, e.Answered, "%s was %s and is called %s", e.Job, before.finalState, e.State)
	}
	c.checkFinal(e)
	c.note(e, before)
}

// checkFinal checks what a job is called at its end.
func (c *checker) checkFinal(e UserEvent) {
	job := c.jobs[e.Job]
	if e.State == protocol.JobCancelled {
		if asked, ok := c.asked[e.Job]; !ok || asked > e.Answered {
			c.broken(WentBack, e.Answered, "%s is called cancelled and nobody asked for it", e.Job)
		}
	}
	if e.State != protocol.JobDone {
		return
	}
	for i := range job.Tasks {
		task := protocol.TaskID{Job: job.ID, Index: i}
		if at, ok := c.done[task]; !ok || at > e.Answered {
			c.broken(NotDone, e.Answered, "%s is called done before %v is", e.Job, task)
			return
		}
	}
}

func (c *checker) note(e UserEvent, before *answers) {
	if !before.isAccepted {
		before.isAccepted, before.accepted = true, e.Answered
	}
	if (e.State == protocol.JobDone || e.State == protocol.JobCancelled) && !before.isFinal {
		before.isFinal, before.final, before.finalState = true, e.Answered, e.State
	}
}

// checkUnanswered finds jobs about which nobody could ask for long while most
// other polls were answered.
func (c *checker) checkUnanswered(users []UserEvent) {
	polls := map[protocol.JobID][]UserEvent{}
	for _, e := range users {
		if e.Kind == UserPolls {
			polls[e.Job] = append(polls[e.Job], e)
		}
	}
	for _, job := range slices.Sorted(maps.Keys(polls)) {
		since := time.Duration(-1)
		for _, e := range polls[job] {
			if e.Status != 0 && e.Status < 500 {
				since = -1
				continue
			}
			if since < 0 {
				since = e.Asked
			}
			if e.Answered-since > unansweredMost && answeredShare(users, since, e.Answered) > mostAnswered {
				c.broken(Forgotten, e.Answered, "no poll for %s was answered for %v", job, e.Answered-since)
				break
			}
		}
	}
}

// answeredShare is the part of all polls of a time that was answered.
func answeredShare(users []UserEvent, from, until time.Duration) float64 {
	all, answered := 0, 0
	for _, e := range users {
		if e.Kind != UserPolls || e.Asked < from || e.Answered > until {
			continue
		}
		all++
		if e.Status != 0 && e.Status < 500 {
			answered++
		}
	}
	return float64(answered) / float64(max(1, all))
}
