package controller

import (
	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

// peerService implements the RPC service "Peer", which answers calls of peers. The names of
// its methods and the fields of their arguments must stay compatible with earlier versions.
type peerService struct{ node *Node }

// Deliver passes a batch of messages to the core and sets reply to the core's reply, or to
// BatchStale if there is none. It returns an error if the core actor has ended.
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

// ForwardedSubmission is the body of a user's request to submit a job, which a peer forwards.
type ForwardedSubmission struct{ Body []byte }

// Submit decides a submission that a peer forwards because it could not accept it itself, and
// returns the answer to the user.
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

// Halt marks a job as cancelled, so that this controller starts no more of its tasks. It sets
// halted once the core has done that, and returns an error if the core actor has ended.
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
