package controller

import (
	"testing"

	"damsonkeel/internal/controller/message"

	"pgregory.net/rapid"
)

// TestOutboxDeliversOnceAndInOrder: the peer receives every message except state updates exactly
// once and in order, regardless of lost, repeated and late batches and replies.
func TestOutboxDeliversOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outbox := NewOutbox("node-0", nil, nil)
		var received, nextNumber uint64
		sent := uint64(0)
		var unanswered []message.Batch
		receive := func(batch message.Batch) {
			for i, msg := range batch.Messages {
				if batch.First+uint64(i) != nextNumber {
					continue
				}
				nextNumber++
				if msg.Place != nil {
					if msg.Place.Number != received+1 {
						t.Fatalf("message %d received after %d", msg.Place.Number, received)
					}
					received++
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				sent++
				outbox.Add(message.Send{From: 1, Session: 2, Message: message.PeerMessage{Place: &message.Place{Number: sent}}})
			case 2:
				outbox.Add(message.Send{From: 1, Session: 2, Message: message.PeerMessage{Relay: &message.StateUpdate{}}})
			case 3: // the batch is delivered, its reply is lost or late
				if batch, ok := outbox.NextBatch(); ok {
					receive(batch)
					unanswered = append(unanswered, batch)
				}
			case 4: // the batch is lost, or delivered and answered
				if batch, ok := outbox.NextBatch(); ok && rapid.Bool().Draw(t, "delivered") {
					receive(batch)
					outbox.HandleReply(batch, message.BatchAccepted)
				}
			case 5:
				if len(unanswered) > 0 {
					outbox.HandleReply(unanswered[0], message.BatchAccepted)
					unanswered = unanswered[1:]
				}
			}
		}
		for batch, ok := outbox.NextBatch(); ok; batch, ok = outbox.NextBatch() {
			receive(batch)
			outbox.HandleReply(batch, message.BatchAccepted)
		}
		if received != sent {
			t.Fatalf("%d of %d messages received", received, sent)
		}
	})
}

// TestLateReplyDoesNotFreeMessageNumbers: a reply to an earlier batch must not free the numbers
// of messages that were sent later.
func TestLateReplyDoesNotFreeMessageNumbers(t *testing.T) {
	outbox := NewOutbox("node-0", nil, nil)
	addPlacement := func(number uint64) {
		outbox.Add(message.Send{From: 1, Session: 2, Message: message.PeerMessage{Place: &message.Place{Number: number}}})
	}
	addStateUpdate := func() {
		outbox.Add(message.Send{From: 1, Session: 2, Message: message.PeerMessage{Relay: &message.StateUpdate{}}})
	}
	addPlacement(1)
	first, _ := outbox.NextBatch()
	addStateUpdate()
	second, _ := outbox.NextBatch() // delivered: the peer has numbers 0 and 1
	addPlacement(2)
	outbox.HandleReply(first, message.BatchAccepted)
	addStateUpdate()
	for batch, ok := outbox.NextBatch(); ok; batch, ok = outbox.NextBatch() {
		for i, msg := range batch.Messages {
			if msg.Place != nil && msg.Place.Number == 2 && batch.First+uint64(i) >= second.First+uint64(len(second.Messages)) {
				return
			}
		}
		outbox.HandleReply(batch, message.BatchAccepted)
	}
	t.Fatal("the second placement has a number that the peer has already accepted")
}
