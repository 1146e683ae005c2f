package simulator

import (
	"strings"
	"time"

	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// checkAnswer checks the answer to a request for a job against the rules: no accepted job is
// unknown, no valid submission is rejected and no invalid one accepted, a state never goes
// back, a job reported as done has completed, and status 503 comes with Retry-After. The
// parameter before is the job as it was when the request was sent: an answer must not
// contradict answers that had arrived by then. checkAnswer also updates j by the answer.
func (u *users) checkAnswer(f *frontend, j, before *userJob, op admission.Operation, a admission.Answer) {
	fail := func(rule string) {
		u.fail("%v %s: %s answers %d %s for %s (operation %d, cancelled by its user %v, earlier final answer %q, expected rejection %d)", u.now, rule, f.node.name, a.Status, describeBody(a), j.id, op, before.cancelRequested, before.finalAnswer, j.rejectStatus)
	}
	switch a.Status {
	case 200, 201:
	case 404:
		if before.rank > rankUnknown {
			fail("forgotten")
		}
		j.lastAnswer = u.now
		return
	case 400, 422:
		if j.rejectStatus != a.Status {
			fail("forgotten")
		}
		return
	case 503:
		u.unavailable++
		if a.RetryAfterS == 0 {
			fail("no Retry-After")
		}
		return
	default:
		fail("unexpected")
		return
	}
	j.lastAnswer = u.now
	var s protocol.JobStatus
	if err := protocol.Decode(a.Body, &s); err != nil || s.ID != j.id {
		fail("unreadable")
		return
	}
	if j.rejectStatus != 0 {
		fail("invented")
		return
	}
	rank := rankAccepted
	switch s.State {
	case protocol.JobDone:
		rank = rankFinal
		u.checkDone(j)
		if j.finalAnswer == protocol.JobCancelled {
			fail("went_back")
		}
	case protocol.JobCancelled:
		rank = rankFinal
		if !j.cancelRequested || j.finalAnswer == protocol.JobDone {
			fail("went_back")
		}
		if _, already := u.cancelled[j.id]; !already {
			u.cancelled[j.id] = u.now
		}
	default:
		if before.endedAt != 0 && op == admission.Poll && before.endedAt+3*time.Second < u.now-pollTimeout {
			u.lateEnds++
		}
	}
	if rank < before.rank {
		fail("went_back")
	}
	if rank == rankFinal {
		j.finalAnswer = s.State
	}
	isNewer := rank > j.rank
	j.rank = max(j.rank, rank)
	if !j.accepted {
		j.accepted = true
		u.jobOrder = append(u.jobOrder, j.id)
		u.poll(j)
		if u.cancelAtOnceFraction > 0 && u.rng.Float64() < u.cancelAtOnceFraction {
			u.after(time.Duration(u.rng.IntN(5))*time.Millisecond, func() { u.cancelJob(j) })
		}
	}
	if isNewer && u.requestOften {
		u.requestEverywhere(j)
	}
}

// describeBody returns the state of the job in the body of an answer, or the whole body if it
// is not a job status.
func describeBody(a admission.Answer) string {
	var s protocol.JobStatus
	if protocol.Decode(a.Body, &s) == nil && s.ID != "" {
		return string(s.State)
	}
	return string(a.Body)
}

// checkDone checks that all tasks of a job that is reported as done have completed.
func (u *users) checkDone(j *userJob) {
	for i := range j.job.Tasks {
		if u.results[protocol.TaskID{Job: j.id, Index: i}] || j.job.Kind == protocol.KindGang && u.results[protocol.TaskID{Job: j.id}] {
			continue
		}
		u.fail("%v not_done: %v/%d, although its user got the answer done", u.now, j.id, i)
	}
}

// checkForgotten checks that, once all faults have ended, no unfinished job is without an
// answer for longer than maxUnanswered.
func (u *users) checkForgotten() {
	for _, j := range ordered.ByKey(u.jobs) {
		if j.polled && j.rank < rankFinal && u.faultFreeSince != 0 && u.now-max(j.lastAnswer, u.faultFreeSince) > maxUnanswered {
			u.fail("%v forgotten: no request for %s has been answered for %v", u.now, j.id, u.now-max(j.lastAnswer, u.faultFreeSince))
		}
	}
}

// checkRecords checks that each job record is of a valid job that a user submitted. Jobs with
// a record whose submission was accepted but never answered are polled from then on, so that
// they are checked to their end.
func (u *users) checkRecords() {
	for _, it := range u.state.List(record.JobKey("")) {
		id := protocol.JobID(strings.TrimPrefix(it.Key, record.JobKey("")))
		j := u.jobs[id]
		if j == nil || j.rejectStatus != 0 {
			u.fail("%v record of an invalid job, or of one that no user submitted: %s", u.now, id)
			continue
		}
		if !j.accepted { // no answer to its submission has arrived
			j.accepted = true
			u.jobOrder = append(u.jobOrder, id)
			u.poll(j)
		}
	}
}
