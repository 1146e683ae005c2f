package controller

import (
	"testing"

	"damsonkeel/internal/controller/message"

	"pgregory.net/rapid"
)

// TestOutboxDeliversOnceAndInOrder: whatever is lost, repeated or answered late, the peer
// gets every message but state updates once and in order.
func TestOutboxDeliversOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := NewOutbox("node-0", nil, nil)
		var got, next uint64
		sent := uint64(0)
		var late []message.Batch
		receive := func(b message.Batch) {
			for i, m := range b.Messages {
				if b.First+uint64(i) != next {
					continue
				}
				next++
				if m.Place != nil {
					if m.Place.Number != got+1 {
						t.Fatalf("message %d after %d", m.Place.Number, got)
					}
					got++
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				sent++
				o.Add(message.Send{From: 1, Session: 2, Message: message.PeerMessage{Place: &message.Place{Number: sent}}})
			case 2:
				o.Add(message.Send{From: 1, Session: 2, Message: message.PeerMessage{Relay: &message.StateUpdate{}}})
			case 3: // delivered, the reply lost or late
				if b, ok := o.Batch(); ok {
					receive(b)
					late = append(late, b)
				}
			case 4: // lost, or delivered and answered
				if b, ok := o.Batch(); ok && rapid.Bool().Draw(t, "delivered") {
					receive(b)
					o.HandleReply(b, message.BatchAccepted)
				}
			case 5:
				if len(late) > 0 {
					o.HandleReply(late[0], message.BatchAccepted)
					late = late[1:]
				}
			}
		}
		for b, ok := o.Batch(); ok; b, ok = o.Batch() {
			receive(b)
			o.HandleReply(b, message.BatchAccepted)
		}
		if got != sent {
			t.Fatalf("%d of %d arrived", got, sent)
		}
	})
}

// TestLateReplyFreesNoNumbers: a reply to a batch sent earlier must not free the numbers of
// what has been sent since.
func TestLateReplyFreesNoNumbers(t *testing.T) {
	o := NewOutbox("node-0", nil, nil)
	place := func(n uint64) {
		o.Add(message.Send{From: 1, Session: 2, Message: message.PeerMessage{Place: &message.Place{Number: n}}})
	}
	stateUpdate := func() {
		o.Add(message.Send{From: 1, Session: 2, Message: message.PeerMessage{Relay: &message.StateUpdate{}}})
	}
	place(1)
	first, _ := o.Batch()
	stateUpdate()
	second, _ := o.Batch() // delivered: the peer has numbers 0 and 1
	place(2)
	o.HandleReply(first, message.BatchAccepted)
	stateUpdate()
	for b, ok := o.Batch(); ok; b, ok = o.Batch() {
		for i, m := range b.Messages {
			if m.Place != nil && m.Place.Number == 2 && b.First+uint64(i) >= second.First+uint64(len(second.Messages)) {
				return
			}
		}
		o.HandleReply(b, message.BatchAccepted)
	}
	t.Fatal("the second placement has a number that the peer has already accepted")
}
