package controller

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

const (
	// PeerTimeout bounds the delivery of a batch to a peer.
	PeerTimeout = 2 * time.Second
	// maxBatchMessages bounds the messages in a batch.
	maxBatchMessages = 200
	// peerRetryDelay is the time until a batch is sent again after a failed call, and
	// peerBehindDelay the time after the answer that the peer still has to read a record.
	peerRetryDelay  = 300 * time.Millisecond
	peerBehindDelay = 30 * time.Millisecond
)

// Outbox is the actor that delivers messages to one peer, in order and in batches. It sends each
// message again until the peer has accepted it or one of the two sessions has ended.
type Outbox struct {
	self protocol.NodeName
	peer *transport.Peer
	log  *slog.Logger
	wake chan struct{} // holds an element if a message has been added
	// onExcluded is called when the peer answers that its view does not contain this
	// controller.
	onExcluded func()

	mu                     sync.Mutex
	fromSession, toSession protocol.LeaseID // the current sessions of this controller and of the peer
	firstNumber            uint64           // number of the message queue[0]
	// inFlight is the number of messages at the head of the queue that the last batch contains.
	inFlight int
	queue    []message.Send // messages that the peer has not accepted yet
}

// NewOutbox returns an outbox of the controller self. The peer may be nil if the caller
// delivers the batches itself.
func NewOutbox(self protocol.NodeName, peer *transport.Peer, log *slog.Logger) *Outbox {
	return &Outbox{self: self, peer: peer, log: log, wake: make(chan struct{}, 1)}
}

// Add queues a message. If its session of either side differs from that of the queued messages,
// it drops those and numbers the messages from 0 again. It merges a state update with a queued
// one that is not part of the last batch.
func (o *Outbox) Add(s message.Send) {
	o.mu.Lock()
	if s.From != o.fromSession || s.Session != o.toSession {
		o.fromSession, o.toSession, o.firstNumber, o.inFlight, o.queue = s.From, s.Session, 0, 0, nil
	}
	if s.Message.Relay != nil {
		s.Message.Relay = o.mergeQueuedUpdate(s.Message.Relay)
	}
	o.queue = append(o.queue, s)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// mergeQueuedUpdate removes the last state update that is not in flight from the queue, and
// returns its merge with a newer one, or the newer one if there is none. The caller holds mu.
func (o *Outbox) mergeQueuedUpdate(update *message.StateUpdate) *message.StateUpdate {
	for i := len(o.queue) - 1; i >= o.inFlight; i-- {
		if before := o.queue[i].Message.Relay; before != nil {
			o.queue = append(o.queue[:i], o.queue[i+1:]...)
			return mergeUpdates(before, update)
		}
	}
	return update
}

// NextBatch returns the messages to be sent next, at most maxBatchMessages, and marks them as in
// flight without removing them from the queue. It returns false if the queue is empty.
func (o *Outbox) NextBatch() (message.Batch, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(len(o.queue), maxBatchMessages)
	o.inFlight = n
	if n == 0 {
		return message.Batch{}, false
	}
	b := message.Batch{From: o.self, FromSession: o.fromSession, ToSession: o.toSession, First: o.firstNumber}
	for _, s := range o.queue[:n] {
		b.Messages = append(b.Messages, s.Message)
		b.Term, b.Shares = max(b.Term, s.Term), max(b.Shares, s.ShardsEpoch)
	}
	return b, true
}

// HandleReply removes the messages of a batch from the queue if the peer has accepted them, or
// all messages if the peer replied that one of the sessions has ended. If the peer is behind,
// the messages stay queued and are sent again.
func (o *Outbox) HandleReply(b message.Batch, r message.BatchReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// A late reply to an earlier batch is ignored: the messages that are in flight now
	// keep their numbers.
	if b.FromSession != o.fromSession || b.ToSession != o.toSession || b.First != o.firstNumber || len(b.Messages) != o.inFlight {
		return
	}
	o.inFlight = 0
	switch r {
	case message.BatchAccepted:
		o.queue = o.queue[len(b.Messages):]
		o.firstNumber += uint64(len(b.Messages))
	case message.BatchStale, message.BatchExcluded:
		o.queue = nil
	}
}

// run delivers the queued messages until the context ends.
func (o *Outbox) run(ctx context.Context) {
	for ctx.Err() == nil {
		if batch, ok := o.NextBatch(); ok {
			o.deliver(ctx, batch)
			continue
		}
		select {
		case <-o.wake:
		case <-ctx.Done():
		}
	}
}

// deliver sends a batch once and handles the reply. If the batch has to be sent again, it waits
// first: peerRetryDelay after a failed call, peerBehindDelay if the peer is behind.
func (o *Outbox) deliver(ctx context.Context, batch message.Batch) {
	var reply message.BatchReply
	if err := o.peer.Call("Peer.Deliver", batch, &reply, PeerTimeout); err != nil {
		o.log.Debug("failed to deliver a batch to a peer", "err", err)
		sleep(ctx, peerRetryDelay)
		return
	}
	o.HandleReply(batch, reply)
	switch reply {
	case message.BatchBehind:
		sleep(ctx, peerBehindDelay)
	case message.BatchExcluded:
		o.onExcluded()
	}
}
