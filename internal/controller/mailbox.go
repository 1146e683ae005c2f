package controller

import (
	"errors"

	"damsonkeel/internal/controller/message"
)

// mailboxSize is how many messages may wait for the core.
const mailboxSize = 2048

// errStopped is that the core's actor has ended.
var errStopped = errors.New("controller stopped")

// envelope is a message to the core, or a question about it.
type envelope struct {
	msg   any
	reply func([]message.Action) // gets the step's ReplyHeartbeat or ReplyBatch
	ask   func(*Core)
}

// post gives the core a message; it waits while the mailbox is full.
func (n *Node) post(msg any) { n.deliver(envelope{msg: msg}) }

// deliver puts an envelope into the core's mailbox and waits while that is full. It
// returns false if the core's actor has ended.
func (n *Node) deliver(e envelope) bool {
	select {
	case n.mailbox <- e:
		return true
	case <-n.coreStopped:
		return false
	}
}

// offer gives the core an envelope unless its mailbox is full.
func (n *Node) offer(e envelope) bool {
	select {
	case n.mailbox <- e:
		return true
	default:
		return false
	}
}

// ask puts a question about the core to its actor, and waits for the answer. It returns
// false if the mailbox is full or the actor has ended.
func ask[T any](n *Node, question func(*Core) T) (answer T, ok bool) {
	answers := make(chan T, 1)
	if !n.offer(envelope{ask: func(c *Core) { answers <- question(c) }}) {
		return answer, false
	}
	select {
	case answer = <-answers:
		return answer, true
	case <-n.coreStopped:
		return answer, false
	}
}
