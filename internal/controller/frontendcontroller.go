package controller

import (
	"fmt"

	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/operatorrequest"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

// frontendController implements frontend.Controller for a node.
type frontendController struct{ node *Node }

// Now returns the time of the node's monotonic clock.
func (fc *frontendController) Now() Time { return fc.node.now() }

// Ready reports whether the load balancer may send requests to the node: it is not shutting
// down, has read the catalogue, and is a member that holds its lease. A member whose lease
// has expired stays ready while it should wait for the lease and keep its users
// (Members.ShouldWaitForLease).
func (fc *frontendController) Ready() bool {
	n := fc.node
	return !n.leaving.Load() && (n.holdsLease() || n.shouldWaitForLease.Load()) && n.catalogueReceived.Load()
}

// QueueHeartbeat queues a worker's heartbeat for the core. reply is called with the core's answer
// or with a refusal.
func (fc *frontendController) QueueHeartbeat(heartbeat protocol.Heartbeat, reply transport.Reply) {
	fc.node.heartbeats.add(fc.node.now(), pendingHeartbeat{heartbeat, reply})
}

// QueryCore queries the core about live jobs; answer is called on the core's goroutine. If the
// mailbox of the core is full, it returns false and answer is not called.
func (fc *frontendController) QueryCore(query admission.QueryCore, answer func(admission.CoreAnswered)) bool {
	return fc.node.tryDeliver(envelope{query: func(c *Core) { answer(c.AnswerAdmissionQuery(query)) }})
}

// CancelJob notifies the core of a cancelled job, so that it starts no more of the job's tasks,
// and calls done when the core has handled that. If the mailbox of the core is full, it does
// neither.
func (fc *frontendController) CancelJob(job protocol.JobID, done func()) {
	fc.node.tryDeliver(envelope{msg: message.JobCancelled{Job: job}, reply: func([]message.Action) { done() }})
}

// DecideOperation has the core decide an operator's request and waits for the decision. It
// returns false if the mailbox of the core is full or the core actor has ended.
func (fc *frontendController) DecideOperation(by string, request *operatorapi.Request) (operatorrequest.Decision, bool) {
	return queryCore(fc.node, func(c *Core) operatorrequest.Decision { return c.operations.Decide(by, request) })
}

// ForwardSubmission sends a user's submission of a job to a peer and waits for the answer, at most
// admission.ForwardTimeout.
func (fc *frontendController) ForwardSubmission(to protocol.NodeName, body []byte) (admission.Answer, error) {
	var answer admission.Answer
	if err := fc.node.peers[to].Call("Peer.Submit", ForwardedSubmission{body}, &answer, admission.ForwardTimeout); err != nil {
		return admission.Answer{}, fmt.Errorf("forward a submission to %s: %w", to, err)
	}
	return answer, nil
}

// AnnounceCancellation notifies a peer of a cancelled job and waits until the peer has
// handled the notification, at most admission.AnnounceTimeout.
func (fc *frontendController) AnnounceCancellation(to protocol.NodeName, job protocol.JobID) error {
	if err := fc.node.peers[to].Call("Peer.Halt", job, new(bool), admission.AnnounceTimeout); err != nil {
		return fmt.Errorf("announce the cancellation of %s to %s: %w", job, to, err)
	}
	return nil
}
