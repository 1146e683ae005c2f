package controller

import (
	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

// peerService answers the calls of peers, as the RPC service "Peer". Its methods' names
// and the fields of their arguments are those of earlier versions.
type peerService struct{ node *Node }

// Deliver takes a batch of messages. Without an answer of the core the batch counts as
// stale.
func (s *peerService) Deliver(b message.Batch, reply *message.BatchReply) error {
	done := make(chan message.BatchReply, 1)
	answer := func(actions []message.Action) {
		result := message.BatchStale
		for _, action := range actions {
			if r, ok := action.(message.ReplyBatch); ok {
				result = r.Reply
			}
		}
		done <- result
	}
	if !s.node.deliver(envelope{msg: message.BatchReceived{Batch: b}, reply: answer}) {
		return errStopped
	}
	select {
	case *reply = <-done:
		return nil
	case <-s.node.coreStopped:
		return errStopped
	}
}

// ForwardedSubmission is a user's submission that a peer passes on.
type ForwardedSubmission struct{ Body []byte }

// Submit answers a submission that a peer could not accept.
func (s *peerService) Submit(submission ForwardedSubmission, reply *admission.Answer) error {
	answers := make(chan *transport.Message, 1)
	s.node.frontend.SubmitForwarded(submission.Body, func(answer *transport.Message) { answers <- answer })
	select {
	case answer := <-answers:
		*reply = admission.Answer{Status: answer.Status, Body: answer.Body, RetryAfterS: answer.RetryAfterS}
		return nil
	case <-s.node.coreStopped:
		return errStopped
	}
}

// Halt marks a job as cancelled, so that nothing more of it is started here.
func (s *peerService) Halt(id protocol.JobID, halted *bool) error {
	done := make(chan struct{})
	if !s.node.deliver(envelope{msg: message.JobCancelled{Job: id}, reply: func([]message.Action) { close(done) }}) {
		return errStopped
	}
	select {
	case <-done:
		*halted = true
		return nil
	case <-s.node.coreStopped:
		return errStopped
	}
}
