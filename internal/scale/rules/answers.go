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
	// maxUnanswered is how long every poll for a job may fail while most other polls
	// are answered.
	maxUnanswered = 90 * time.Second
	// minAnsweredFraction is the fraction of all polls that counts as most of them.
	minAnsweredFraction = 0.5
)

// answerHistory holds what the answers so far have said about one job.
type answerHistory struct {
	acceptedAt, finalAt time.Duration
	finalState          protocol.JobState
	isAccepted          bool
	isFinal             bool
}

// checkAnswers checks every answer against those that arrived before its request.
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
func (c *checker) checkAnswer(e UserEvent, earlier *answerHistory) {
	accepted := earlier.isAccepted && earlier.acceptedAt <= e.RequestedAt
	success := e.Status == http.StatusOK || e.Status == http.StatusCreated
	_, submitted := c.jobs[e.Job]
	switch {
	case e.Status == http.StatusOK && !submitted:
		c.violation(RuleInvented, e.AnsweredAt, "%s was never submitted", e.Job)
	case e.Status == http.StatusNotFound && accepted:
		c.violation(RuleForgotten, e.AnsweredAt, "%s was accepted and gets 404", e.Job)
	case e.Kind == UserSubmits && accepted && (e.Status == http.StatusBadRequest || e.Status == http.StatusUnprocessableEntity):
		c.violation(RuleForgotten, e.AnsweredAt, "%s was accepted and is refused with %d", e.Job, e.Status)
	}
	if !success {
		return
	}
	final := earlier.isFinal && earlier.finalAt <= e.RequestedAt
	if final && e.State != earlier.finalState {
		c.violation(RuleWentBack, e.AnsweredAt, "%s was %s and is called %s", e.Job, earlier.finalState, e.State)
	}
	c.checkFinal(e)
	recordAnswer(e, earlier)
}

// checkFinal checks that a job reported as cancelled or done is so.
func (c *checker) checkFinal(e UserEvent) {
	job := c.jobs[e.Job]
	if e.State == protocol.JobCancelled {
		if requested, ok := c.cancelRequested[e.Job]; !ok || requested > e.AnsweredAt {
			c.violation(RuleWentBack, e.AnsweredAt, "%s is called cancelled and nobody asked for it", e.Job)
		}
	}
	if e.State != protocol.JobDone {
		return
	}
	for i := range job.Tasks {
		task := protocol.TaskID{Job: job.ID, Index: i}
		if at, ok := c.completed[task]; !ok || at > e.AnsweredAt {
			c.violation(RuleNotDone, e.AnsweredAt, "%s is called done before %v is", e.Job, task)
			return
		}
	}
}

// recordAnswer adds an answer to the history of its job.
func recordAnswer(e UserEvent, earlier *answerHistory) {
	if !earlier.isAccepted {
		earlier.isAccepted, earlier.acceptedAt = true, e.AnsweredAt
	}
	if (e.State == protocol.JobDone || e.State == protocol.JobCancelled) && !earlier.isFinal {
		earlier.isFinal, earlier.finalAt, earlier.finalState = true, e.AnsweredAt, e.State
	}
}

// checkUnanswered finds jobs all of whose polls failed for long while most other polls
// were answered.
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
				c.violation(RuleForgotten, e.AnsweredAt, "no poll for %s was answered for %v", job, e.AnsweredAt-since)
				break
			}
		}
	}
}

// isAnswered reports whether a request got an answer other than a server error.
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
