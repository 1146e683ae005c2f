package admission

import (
	"cmp"
	"slices"
	"time"

	"damsonkeel/internal/kvstore"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// liveKeyParts is the part of a controller's requests to the state service that polls
// reservation live jobs may take.
const liveKeyParts = 0.25

// comparePolls finds out for the polls that wait whether their jobs are still live,
// many in one request: a transaction that only compares the versions of their
// records with those followed here. It begins after all polls that it answers
// have come, so it is as new as a read for each of them would be. Users of
// hundreds of jobs poll more often than the state service takes requests:
// docs/incidents/2026-12-01-small-jobs-use-up-a-controller.md.
func (in *Admission) comparePolls() {
	if len(in.polls) == 0 {
		return
	}
	if in.now < in.nextQuery {
		in.wakeBy(in.nextQuery)
		return
	}
	site := &in.settings.Site
	share := kvstore.EqualAllotment(site.State.RPS, site.State.WriteRPS, site.Count)
	in.nextQuery = in.after(time.Duration(float64(time.Second) / max(1, liveKeyParts*share.Requests)))
	n := min(len(in.polls), max(1, 4*site.State.TxnOps))
	l := &ownerQuery{polls: slices.Clone(in.polls[:n])}
	in.polls = slices.Delete(in.polls, 0, n)
	var jobs []protocol.JobID
	for _, r := range l.polls {
		jobs = append(jobs, r.Job)
	}
	in.queryOwners(l, jobs...)
	if len(in.polls) > 0 {
		in.wakeBy(in.nextQuery)
	}
}

// compare holds the versions of the jobs of a look against the records. What is not
// known to be live only its own record can tell.
func (in *Admission) compare(id QueryID, l *ownerQuery) {
	var conditions []protocol.Condition
	l.polls = slices.DeleteFunc(l.polls, func(r *request) bool {
		j, live := l.jobs[r.Job]
		switch {
		case in.requests[r.ID] != r: // answered since
		case !live:
			in.get(r)
		default:
			conditions = append(conditions, protocol.Condition{Key: record.JobKey(r.Job), Version: j.Version})
			return false
		}
		return true
	})
	if len(conditions) == 0 {
		delete(in.looks, id)
		return
	}
	slices.SortFunc(conditions, func(a, b protocol.Condition) int { return cmp.Compare(a.Key, b.Key) })
	in.emit(Compare{id, slices.Compact(conditions)}) // some may be asked for twice
}

// compared answers polls. Where some records differ, those that are not named as
// such are compared once more.
func (in *Admission) compared(m Compared) {
	l := in.looks[m.Look]
	if l == nil {
		return
	}
	if m.Outcome == message.OutcomeFailed {
		all := l.again || len(m.Differ) == 0
		for _, r := range l.polls {
			if all || slices.Contains(m.Differ, record.JobKey(r.Job)) {
				delete(l.jobs, r.Job)
			}
		}
		l.again = true
		in.compare(m.Look, l)
		return
	}
	delete(in.looks, m.Look)
	for _, r := range l.polls {
		if m.Outcome == message.OutcomeDone {
			in.answer(r, liveAnswer(r.Job, l.jobs[r.Job].Progress))
		} else {
			in.unavailable(r, "state service can't be asked")
		}
	}
}
