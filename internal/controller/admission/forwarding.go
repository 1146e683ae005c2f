package admission

import (
	"time"

	"damsonkeel/internal/protocol"
)

// ForwardTimeout is the maximum time a peer may take to answer a forwarded submission.
const ForwardTimeout = 700 * time.Millisecond

// answerUnavailable answers a request that can't be settled now with 503 and the reason. A
// submission is first forwarded, once, to a peer that holds its lease, since the key-value
// store may be unreachable from this controller only.
func (a *Admission) answerUnavailable(r *request, reason string) {
	a.log.Debug("request not settled", "operation", r.Operation, "job", r.Job, "reason", reason)
	answer := Failure(statusUnavailable, reason)
	if r.Operation != Submit || r.Forwarded || r.fallback != nil || a.now >= r.deadline {
		a.reply(r, answer)
		return
	}
	r.fallback = &answer
	r.deadline = min(r.deadline, a.timeAfter(ForwardTimeout))
	a.queryCore(forwardQuery{r})
}

// forwardQuery asks for the peers that hold their lease, in order to forward a submission to
// one of them.
type forwardQuery struct{ request *request }

func (q forwardQuery) resume(a *Admission, _ QueryID, m CoreAnswered) {
	a.forward(q.request, m.Leading)
}

// forward sends a submission to the first of the peers that hold their lease. No other peer
// receives it, and the receiver doesn't forward it again. If there is no such peer, the
// request gets its fallback answer, 503.
func (a *Admission) forward(r *request, leading []protocol.NodeName) {
	for _, m := range a.settings.Members {
		if len(leading) > 0 && m.Name == leading[0] && a.requests[r.ID] == r {
			a.emit(Forward{r.ID, m.Name, r.Body})
			return
		}
	}
	a.reply(r, *r.fallback)
}

// handleForwarded answers the user with a peer's answer to a forwarded submission, or with
// 503 if the peer didn't answer: the job may or may not have been accepted then, and the
// user's retry settles it.
func (a *Admission) handleForwarded(m Forwarded) {
	r := a.requests[m.ID]
	if r == nil || r.fallback == nil {
		return
	}
	answer := m.Answer
	if answer.Status == 0 {
		answer = *r.fallback
	}
	a.reply(r, answer)
}
