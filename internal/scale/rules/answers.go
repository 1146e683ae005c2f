package rules

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"

	"damsonkeel/internal/protocol"
)

const (
	// maxUnanswered is the longest period in which every poll for a job may fail while most
	// polls by all users in that period are answered.
	maxUnanswered = 90 * time.Second
	// minAnsweredFraction is the fraction of all polls in such a period above which the
	// failing polls of one job are a violation and not the effect of a general outage.
	minAnsweredFraction = 0.5
)

// answerHistory holds when a job was first reported as accepted, and when and in which
// state it was first reported as finished.
type answerHistory struct {
	acceptedAt, finalAt time.Duration
	finalState          protocol.JobState
	isAccepted          bool
	isFinal             bool
}

// checkAnswers checks every answer against the answers about the same job that arrived
// before its request was sent.
func (c *checker) checkAnswers(users []UserEvent) {
	histories := map[protocol.JobID]*answerHistory{}
	events := slices.Clone(users)
	slices.SortStableFunc(events, func(a, b UserEvent) int { return cmp.Compare(a.AnsweredAt, b.AnsweredAt) })
	for _, e := range events {
		if e.Kind == UserDescribes || e.Status == 0 {
			continue
		}
		if histories[e.Job] == nil {
			histories[e.Job] = &answerHistory{}
		}
		c.checkAnswer(e, histories[e.Job])
	}
}

// checkAnswer checks one answer against the earlier answers about its job.
func (c *checker) checkAnswer(e UserEvent, history *answerHistory) {
	accepted := history.isAccepted && history.acceptedAt <= e.RequestedAt
	success := e.Status == http.StatusOK || e.Status == http.StatusCreated
	_, submitted := c.jobs[e.Job]
	switch {
	case e.Status == http.StatusOK && !submitted:
		c.addViolation(RuleInvented, e.AnsweredAt, "%s was never submitted", e.Job)
	case e.Status == http.StatusNotFound && accepted:
		c.addViolation(RuleForgotten, e.AnsweredAt, "%s was accepted, but a later request got status 404", e.Job)
	case e.Kind == UserSubmits && accepted && (e.Status == http.StatusBadRequest || e.Status == http.StatusUnprocessableEntity):
		c.addViolation(RuleForgotten, e.AnsweredAt, "%s was accepted, but a repeated submission was rejected with status %d", e.Job, e.Status)
	}
	if !success {
		return
	}
	final := history.isFinal && history.finalAt <= e.RequestedAt
	if final && e.State != history.finalState {
		c.addViolation(RuleWentBack, e.AnsweredAt, "%s was in final state %s, but was then reported as %s", e.Job, history.finalState, e.State)
	}
	c.checkFinalState(e)
	recordAnswer(e, history)
}

// checkFinalState checks that a job reported as cancelled was cancelled by its user, and that
// all tasks of a job reported as done have completed.
func (c *checker) checkFinalState(e UserEvent) {
	job := c.jobs[e.Job]
	if e.State == protocol.JobCancelled {
		if requested, ok := c.cancelRequested[e.Job]; !ok || requested > e.AnsweredAt {
			c.addViolation(RuleWentBack, e.AnsweredAt, "%s was reported as cancelled without a cancellation request", e.Job)
		}
	}
	if e.State != protocol.JobDone {
		return
	}
	for i := range job.Tasks {
		task := protocol.TaskID{Job: job.ID, Index: i}
		if at, ok := c.completed[task]; !ok || at > e.AnsweredAt {
			c.addViolation(RuleNotDone, e.AnsweredAt, "%s was reported as done before task %v completed", e.Job, task)
			return
		}
	}
}

// recordAnswer adds an answer to the history of its job.
func recordAnswer(e UserEvent, history *answerHistory) {
	if !history.isAccepted {
		history.isAccepted, history.acceptedAt = true, e.AnsweredAt
	}
	if (e.State == protocol.JobDone || e.State == protocol.JobCancelled) && !history.isFinal {
		history.isFinal, history.finalAt, history.finalState = true, e.AnsweredAt, e.State
	}
}

// checkUnanswered finds jobs whose polls all failed for longer than maxUnanswered while most
// polls of the same period were answered.
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
			if isAnswered(e) {
				since = -1
				continue
			}
			if since < 0 {
				since = e.RequestedAt
			}
			if e.AnsweredAt-since > maxUnanswered && answeredFraction(users, since, e.AnsweredAt) > minAnsweredFraction {
				c.addViolation(RuleForgotten, e.AnsweredAt, "no poll for %s was answered for %v", job, e.AnsweredAt-since)
				break
			}
		}
	}
}

// isAnswered reports whether a request got a response other than a server error.
func isAnswered(e UserEvent) bool {
	return e.Status != 0 && e.Status < http.StatusInternalServerError
}

// answeredFraction returns the fraction of the polls in a period that were answered.
func answeredFraction(users []UserEvent, from, until time.Duration) float64 {
	all, answered := 0, 0
	for _, e := range users {
		if e.Kind != UserPolls || e.RequestedAt < from || e.AnsweredAt > until {
			continue
		}
		all++
		if isAnswered(e) {
			answered++
		}
	}
	return float64(answered) / float64(max(1, all))
}
