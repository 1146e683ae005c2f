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
	// pollRateFraction is the fraction of a controller's requests to the key-value store
	// that polls for live jobs may take.
	pollRateFraction = 0.25
	// pollsPerTransactionOp bounds the polls of one comparison, as a multiple of the
	// operations that a transaction may hold.
	pollsPerTransactionOp = 4
)

// pollComparison answers many polls with one request to the key-value store: it
// compares the versions of their jobs' records with those followed here.
type pollComparison struct {
	polls    []*request
	jobs     map[protocol.JobID]LiveJob // as the core knows them
	repeated bool                       // this is the second comparison
}

// resume begins the comparison once the core has answered which versions it follows.
func (c *pollComparison) resume(a *Admission, id QueryID, m OwnersAnswered) {
	c.jobs = m.Jobs
	a.comparisons[id] = c
	a.compare(id, c)
}

// poll answers a poll: at once if the job is known to be over, else by a comparison.
func (a *Admission) poll(r *request) {
	if rec, ok := a.finalRecord(r.Job); ok {
		a.answerFromRecord(r, rec)
		return
	}
	a.waitingPolls = append(a.waitingPolls, r)
}

// startComparison finds out for the polls that wait whether their jobs are still live,
// many in one request: a transaction that only compares the versions of their records
// with those followed here. It begins after all polls that it answers have come, so it
// is as new as a read for each of them would be. Users of hundreds of jobs poll more
// often than the key-value store takes requests:
// docs/incidents/2026-12-01-small-jobs-use-up-a-controller.md.
func (a *Admission) startComparison() {
	if len(a.waitingPolls) == 0 {
		return
	}
	if a.now < a.nextComparisonAt {
		a.wakeBy(a.nextComparisonAt)
		return
	}
	a.nextComparisonAt = a.after(a.comparisonInterval())
	count := min(len(a.waitingPolls), max(1, pollsPerTransactionOp*a.settings.Site.State.TxnOps))
	comparison := &pollComparison{polls: slices.Clone(a.waitingPolls[:count])}
	a.waitingPolls = slices.Delete(a.waitingPolls, 0, count)
	var jobs []protocol.JobID
	for _, r := range comparison.polls {
		jobs = append(jobs, r.Job)
	}
	a.queryOwners(comparison, jobs...)
	if len(a.waitingPolls) > 0 {
		a.wakeBy(a.nextComparisonAt)
	}
}

// comparisonInterval is the least time between two comparisons.
func (a *Admission) comparisonInterval() time.Duration {
	site := &a.settings.Site
	allotment := kvstore.EqualAllotment(site.State.RPS, site.State.WriteRPS, site.Count)
	return time.Duration(float64(time.Second) / max(1, pollRateFraction*allotment.Requests))
}

// compare asks the key-value store whether the jobs' versions are still those followed
// here. For a job that is not known to be live its own record is read.
func (a *Admission) compare(id QueryID, c *pollComparison) {
	var conditions []protocol.Condition
	c.polls = slices.DeleteFunc(c.polls, func(r *request) bool {
		j, live := c.jobs[r.Job]
		switch {
		case a.requests[r.ID] != r: // answered since
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
	a.emit(Compare{id, slices.Compact(conditions)}) // two polls may ask for the same job
}

// compared answers polls, or compares once more without the records that differ.
func (a *Admission) compared(m Compared) {
	c := a.comparisons[m.Query]
	if c == nil {
		return
	}
	if m.Outcome == message.OutcomeFailed {
		c.dropChanged(m.Differing)
		a.compare(m.Query, c)
		return
	}
	delete(a.comparisons, m.Query)
	for _, r := range c.polls {
		if m.Outcome == message.OutcomeDone {
			a.reply(r, liveAnswer(r.Job, c.jobs[r.Job].Progress))
		} else {
			a.unavailable(r, "state service can't be asked")
		}
	}
}

// dropChanged drops the jobs whose records differ: those that are named, or all, if
// none is named or a second comparison failed, too.
func (c *pollComparison) dropChanged(differ []string) {
	all := c.repeated || len(differ) == 0
	for _, r := range c.polls {
		if all || slices.Contains(differ, record.JobKey(r.Job)) {
			delete(c.jobs, r.Job)
		}
	}
	c.repeated = true
}
