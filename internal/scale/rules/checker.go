package rules

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"damsonkeel/internal/protocol"
)

// Check replays the events of a run and returns every rule violation, in order of time. The result
// is empty if no rule was violated. It does not change its arguments.
func Check(requirements Requirements, machines []MachineEvent, users []UserEvent) []Violation {
	c := newChecker(requirements, users)
	events := slices.Clone(machines)
	slices.SortStableFunc(events, func(a, b MachineEvent) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(sameTimeOrder(a), sameTimeOrder(b)))
	})
	for _, e := range events {
		c.replay(e)
	}
	c.checkRemainingTasks()
	c.checkAnswers(users)
	c.checkUnanswered(users)
	if c.starts == 0 {
		c.addViolation(RuleNothingRan, 0, "no task was started")
	}
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.violations
}

// sameTimeOrder returns the rank of an event among events of the same time: ends of tasks and
// losses of machines come before all others, so that a task that moves at one moment does not
// count as running twice.
func sameTimeOrder(e MachineEvent) int {
	if e.Kind == TaskEnded || e.Kind == MachineLost {
		return 0
	}
	return 1
}

// checker replays the events of a run and collects violations.
type checker struct {
	requirements    Requirements
	jobs            map[protocol.JobID]protocol.Job
	cancelConfirmed map[protocol.JobID]time.Duration // when a response first confirmed the cancellation
	cancelRequested map[protocol.JobID]time.Duration // when a user first requested the cancellation
	machines        map[protocol.MachineID]MachineEvent
	tasksOn         map[protocol.MachineID]map[protocol.TaskID]bool
	machineOf       map[protocol.TaskID]protocol.MachineID
	usedCPUs        map[protocol.Team]float64
	limits          map[protocol.Team]float64 // at the start of the run
	limitChanges    map[protocol.Team][]LimitChange
	startAccepted   map[protocol.TaskID]time.Duration // when a worker last accepted the task's start
	completed       map[protocol.TaskID]time.Duration // when the task first completed
	lastEvent       time.Duration
	starts          int
	violations      []Violation
}

// newChecker returns a checker that has indexed the jobs, cancellations and limits against
// which the replayed events are checked.
func newChecker(requirements Requirements, users []UserEvent) *checker {
	c := &checker{
		requirements: requirements, jobs: map[protocol.JobID]protocol.Job{}, cancelConfirmed: map[protocol.JobID]time.Duration{}, cancelRequested: map[protocol.JobID]time.Duration{},
		machines: map[protocol.MachineID]MachineEvent{}, tasksOn: map[protocol.MachineID]map[protocol.TaskID]bool{}, machineOf: map[protocol.TaskID]protocol.MachineID{},
		usedCPUs: map[protocol.Team]float64{}, limits: map[protocol.Team]float64{},
		limitChanges: map[protocol.Team][]LimitChange{}, startAccepted: map[protocol.TaskID]time.Duration{}, completed: map[protocol.TaskID]time.Duration{},
	}
	for _, t := range requirements.Teams {
		c.limits[t.Name] = t.MaxCPUs
	}
	for _, change := range requirements.LimitChanges {
		c.limitChanges[change.Team] = append(c.limitChanges[change.Team], change)
	}
	for _, e := range users {
		switch e.Kind {
		case UserDescribes:
			c.jobs[e.Job] = e.Description
		case UserCancels:
			updateEarliest(c.cancelRequested, e.Job, e.RequestedAt)
		}
		if e.Status == http.StatusOK && e.State == protocol.JobCancelled {
			updateEarliest(c.cancelConfirmed, e.Job, e.AnsweredAt)
		}
	}
	return c
}

// updateEarliest stores a job's time unless an earlier one is stored.
func updateEarliest(times map[protocol.JobID]time.Duration, job protocol.JobID, at time.Duration) {
	if previous, ok := times[job]; !ok || at < previous {
		times[job] = at
	}
}

// addViolation records a violation of a rule.
func (c *checker) addViolation(rule Rule, at time.Duration, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}
