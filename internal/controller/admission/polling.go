package admission

import (
	"cmp"
	"slices"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/kvstore"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// pollRateFraction is the fraction of a controller's request rate to the key-value
	// store that polls for live jobs may use.
	pollRateFraction = 0.25
	// pollsPerTransactionOp is the maximum number of polls in one comparison, divided by
	// the number of operations that a transaction may hold.
	pollsPerTransactionOp = 4
)

// pollComparison answers many polls with one request to the key-value store, which
// compares the versions of the jobs' records with those that the core has observed.
type pollComparison struct {
	polls    []*request
	jobs     map[protocol.JobID]LiveJob // the core's state of the live jobs
	repeated bool                       // this is the second comparison
}

// resume sends the comparison to the store once the core has returned the versions it has
// observed.
func (c *pollComparison) resume(a *Admission, id QueryID, m CoreAnswered) {
	c.jobs = m.Jobs
	a.comparisons[id] = c
	a.compare(id, c)
}

// poll answers a poll at once if the job is known here to be finished, and otherwise queues
// it for the next comparison.
func (a *Admission) poll(r *request) {
	if rec, ok := a.finalRecord(r.Job); ok {
		a.answerFromRecord(r, rec, 0)
		return
	}
	a.waitingPolls = append(a.waitingPolls, r)
}

// startComparison begins to check whether the jobs of waiting polls are still live, many of
// them in one request: a transaction without changes compares the versions of their records
// with those that the core has observed. It does nothing if no poll waits, and requests a
// tick if comparisonInterval has not passed since the last comparison. The comparison
// starts after all polls that it answers have arrived, so its result is as fresh as a
// separate read for each of them would be. Users of hundreds of jobs poll more often than
// the key-value store accepts requests:
// docs/incidents/2026-12-01-small-jobs-use-up-a-controller.md.
func (a *Admission) startComparison() {
	if len(a.waitingPolls) == 0 {
		return
	}
	if a.now < a.nextComparisonAt {
		a.wakeBy(a.nextComparisonAt)
		return
	}
	a.nextComparisonAt = a.timeAfter(a.comparisonInterval())
	count := min(len(a.waitingPolls), max(1, pollsPerTransactionOp*a.settings.Site.State.TxnOps))
	comparison := &pollComparison{polls: slices.Clone(a.waitingPolls[:count])}
	a.waitingPolls = slices.Delete(a.waitingPolls, 0, count)
	var jobs []protocol.JobID
	for _, r := range comparison.polls {
		jobs = append(jobs, r.Job)
	}
	a.queryCore(comparison, jobs...)
	if len(a.waitingPolls) > 0 {
		a.wakeBy(a.nextComparisonAt)
	}
}

// comparisonInterval returns the minimum time between the starts of two comparisons, so
// that they use at most pollRateFraction of this controller's allotment of requests; at
// most one second.
func (a *Admission) comparisonInterval() time.Duration {
	site := &a.settings.Site
	allotment := kvstore.EqualAllotment(site.State.RPS, site.State.WriteRPS, site.Count)
	return time.Duration(float64(time.Second) / max(1, pollRateFraction*allotment.Requests))
}

// compare asks the key-value store whether the jobs' versions still equal those that the
// core has observed. If a job isn't live in the core's state, compare reads its record
// instead.
func (a *Admission) compare(id QueryID, c *pollComparison) {
	var conditions []protocol.Condition
	c.polls = slices.DeleteFunc(c.polls, func(r *request) bool {
		j, live := c.jobs[r.Job]
		switch {
		case a.requests[r.ID] != r: // answered in the meantime
		case !live:
			a.readRecord(r)
		default:
			conditions = append(conditions, protocol.Condition{Key: record.JobKey(r.Job), Version: j.Version})
			return false
		}
		return true
	})
	if len(conditions) == 0 {
		delete(a.comparisons, id)
		return
	}
	slices.SortFunc(conditions, func(x, y protocol.Condition) int { return cmp.Compare(x.Key, y.Key) })
	a.emit(Compare{id, slices.Compact(conditions)}) // several polls may be for the same job
}

// handleCompared answers the polls of a comparison with the progress of their jobs if all
// versions match, and with 503 if the store didn't answer. If versions differ, it repeats
// the comparison without those jobs, whose records are read instead.
func (a *Admission) handleCompared(m Compared) {
	c := a.comparisons[m.Query]
	if c == nil {
		return
	}
	if m.Outcome == message.OutcomeFailed {
		c.dropDiffering(m.Differing)
		a.compare(m.Query, c)
		return
	}
	delete(a.comparisons, m.Query)
	for _, r := range c.polls {
		if m.Outcome == message.OutcomeDone {
			a.reply(r, liveAnswer(r.Job, c.jobs[r.Job].Progress))
		} else {
			a.answerUnavailable(r, "state service can't be asked")
		}
	}
}

// dropDiffering drops the jobs whose records differ from the comparison, so that compare
// reads their records. It drops all jobs if no key is named, or if this was already the
// second comparison that failed.
func (c *pollComparison) dropDiffering(differingKeys []string) {
	all := c.repeated || len(differingKeys) == 0
	for _, r := range c.polls {
		if all || slices.Contains(differingKeys, record.JobKey(r.Job)) {
			delete(c.jobs, r.Job)
		}
	}
	c.repeated = true
}
