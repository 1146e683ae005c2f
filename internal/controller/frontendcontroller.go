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

// frontendController is the node as its HTTP front end sees it.
type frontendController struct{ node *Node }

// Now is the node's steady clock.
func (fc *frontendController) Now() Time { return fc.node.now() }

// Ready reports whether the node is a member that knows the machine types and holds its
// lease, or should wait for it together with its users.
func (fc *frontendController) Ready() bool {
	n := fc.node
	return !n.leaving.Load() && (n.holdsLease() || n.shouldWaitOut.Load()) && n.typesKnown.Load()
}

// QueueHeartbeat queues a worker's heartbeat for the core.
func (fc *frontendController) QueueHeartbeat(heartbeat protocol.Heartbeat, reply transport.Reply) {
	fc.node.heartbeats.add(fc.node.now(), pendingHeartbeat{heartbeat, reply})
}

// QueryCore asks the core about live jobs, unless its mailbox is full.
func (fc *frontendController) QueryCore(query admission.QueryCore, answer func(admission.CoreAnswered)) bool {
	return fc.node.offer(envelope{ask: func(c *Core) { answer(c.AnswerAdmissionQuery(query)) }})
}

// CancelJob tells the core of a cancelled job, unless its mailbox is full.
func (fc *frontendController) CancelJob(job protocol.JobID, done func()) {
	fc.node.offer(envelope{msg: message.JobCancelled{Job: job}, reply: func([]message.Action) { done() }})
}

// DecideOperation has the core decide an operator's request.
func (fc *frontendController) DecideOperation(by string, request *operatorapi.Request) (operatorrequest.Decision, bool) {
	return ask(fc.node, func(c *Core) operatorrequest.Decision { return c.operations.Decide(by, request) })
}

// ForwardSubmission passes a submission on to a peer.
func (fc *frontendController) ForwardSubmission(to protocol.NodeName, body []byte) (admission.Answer, error) {
	var answer admission.Answer
	if err := fc.node.peers[to].Call("Peer.Submit", ForwardedSubmission{body}, &answer, admission.ForwardTimeout); err != nil {
		return admission.Answer{}, fmt.Errorf("forward a submission to %s: %w", to, err)
	}
	return answer, nil
}

// AnnounceCancellation tells a peer of a cancelled job.
func (fc *frontendController) AnnounceCancellation(to protocol.NodeName, job protocol.JobID) error {
	if err := fc.node.peers[to].Call("Peer.Halt", job, new(bool), admission.AnnounceTimeout); err != nil {
		return fmt.Errorf("announce the cancellation of %s to %s: %w", job, to, err)
	}
	return nil
}
