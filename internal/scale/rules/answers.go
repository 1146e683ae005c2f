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

// answerHistory holds when a job was first reported as accepted, by any response with status
// 200 or 201, and when and in which state it was first reported as finished, which means done
// or cancelled.
type answerHistory struct {
	acceptedAt, finalAt time.Duration
	finalState          protocol.JobState
	isAccepted          bool
	isFinal             bool
}

// checkAnswers checks every answer against the answers about the same job that arrived
// before its request was sent. It skips requests without a response.
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

// checkAnswer checks one answer against the earlier answers about its job, and adds it to the
// history if its status is 200 or 201. Violations are an answer about a job that was never
// submitted, status 404 or a rejected submission after the job was accepted, a state other than
// the final state that was reported before, and a final state that contradicts the events of the
// tasks or the cancellation requests.
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

// recordAnswer adds a successful answer to the history of its job. Only the first acceptance and
// the first final state are kept.
func recordAnswer(e UserEvent, history *answerHistory) {
	if !history.isAccepted {
		history.isAccepted, history.acceptedAt = true, e.AnsweredAt
	}
	if (e.State == protocol.JobDone || e.State == protocol.JobCancelled) && !history.isFinal {
		history.isFinal, history.finalAt, history.finalState = true, e.AnsweredAt, e.State
	}
}

// checkUnanswered finds jobs whose polls all failed for longer than maxUnanswered while most
// polls by all users in the same period were answered. It adds at most one violation per job.
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

// isAnswered reports whether a request got a response other than a server error, that is, a status
// below 500.
func isAnswered(e UserEvent) bool {
	return e.Status != 0 && e.Status < http.StatusInternalServerError
}

// answeredFraction returns the fraction of the polls by all users in a period that were answered,
// or 0 if there were none. A poll is in the period if its request and its response are.
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
