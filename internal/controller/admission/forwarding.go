package admission

import (
	"time"

	"damsonkeel/internal/protocol"
)

// ForwardTimeout is how long a peer may take to answer a forwarded submission.
const ForwardTimeout = 700 * time.Millisecond

// unavailable answers a request that can't be settled now. A submission is forwarded
// to a leading peer, once: the key-value store may be out of reach of this controller
// alone.
func (a *Admission) unavailable(r *request, reason string) {
	a.log.Debug("request not settled", "operation", r.Operation, "job", r.Job, "reason", reason)
	answer := Failure(statusUnavailable, reason)
	if r.Operation != Submit || r.Forwarded || r.fallback != nil || a.now >= r.deadline {
		a.reply(r, answer)
		return
	}
	r.fallback = &answer
	r.deadline = min(r.deadline, a.after(ForwardTimeout))
	a.queryOwners(forwardQuery{r})
}

// forwardQuery asks which peers lead, to forward a submission to one of them.
type forwardQuery struct{ request *request }

func (q forwardQuery) resume(a *Admission, _ QueryID, m OwnersAnswered) {
	a.forward(q.request, m.Leading)
}

// forward sends a submission to the first of the leading peers. It is sent to one peer
// only, and not forwarded from there.
func (a *Admission) forward(r *request, leading []protocol.NodeName) {
	for _, m := range a.settings.Members {
		if len(leading) > 0 && m.Name == leading[0] && a.requests[r.ID] == r {
			a.emit(Forward{r.ID, m.Name, r.Body})
			return
		}
	}
	a.reply(r, *r.fallback)
}

// forwarded gives back a peer's answer to a forwarded submission. Without one the job
// may have been accepted or not: the user finds out by a retry.
func (a *Admission) forwarded(m Forwarded) {
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
