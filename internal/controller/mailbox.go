package controller

import (
	"errors"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// mailboxSize is the capacity of the core's mailbox, in messages.
const mailboxSize = 2048

// errStopped reports that the core actor has ended.
var errStopped = errors.New("controller stopped")

// envelope is an element of the mailbox: a message to the core, or a query of its state.
type envelope struct {
	msg   any
	reply func([]message.Action) // called with the actions of the step; may be nil
	query func(*Core)
}

// post sends a message to the core. It blocks while the mailbox is full.
func (n *Node) post(msg any) { n.deliver(envelope{msg: msg}) }

// postInSession sends a message that belongs to a session to the core, which drops it if the
// session has ended by then. It blocks while the mailbox is full.
func (n *Node) postInSession(session protocol.LeaseID, msg message.SessionMessage) {
	n.post(message.InSession{Session: session, Message: msg})
}

// deliver puts an envelope into the core's mailbox. It blocks while the mailbox is full, and
// returns false if the core actor has ended.
func (n *Node) deliver(e envelope) bool {
	select {
	case n.mailbox <- e:
		return true
	case <-n.coreStopped:
		return false
	}
}

// tryDeliver puts an envelope into the core's mailbox, or returns false if the mailbox is
// full.
func (n *Node) tryDeliver(e envelope) bool {
	select {
	case n.mailbox <- e:
		return true
	default:
		return false
	}
}

// queryCore has the core actor run a query and waits for its result. It returns false if the
// mailbox is full or the actor has ended.
func queryCore[T any](n *Node, query func(*Core) T) (answer T, ok bool) {
	answers := make(chan T, 1)
	if !n.tryDeliver(envelope{query: func(c *Core) { answers <- query(c) }}) {
		return answer, false
	}
	select {
	case answer = <-answers:
		return answer, true
	case <-n.coreStopped:
		return answer, false
	}
}
