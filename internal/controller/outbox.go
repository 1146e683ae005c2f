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
	// PeerTimeout is how long the delivery of a batch to a peer may take.
	PeerTimeout = 2 * time.Second
	// maxBatch bounds the messages in a batch.
	maxBatch = 200
	// peerRetryDelay is the time until a batch is sent again after a call that failed, and
	// peerBehindDelay after the peer has answered that it still has to read a record.
	peerRetryDelay  = 300 * time.Millisecond
	peerBehindDelay = 30 * time.Millisecond
)

// Outbox is the actor that delivers messages to one peer: in order, each until the peer
// has accepted it or one of the two sessions is over.
type Outbox struct {
	self protocol.NodeName
	peer *transport.Peer
	log  *slog.Logger
	wake chan struct{} // holds one if a message has been added
	// excluded is called when the peer has adopted a view without this controller.
	excluded func()

	mu       sync.Mutex
	from, to protocol.LeaseID // the sessions of this controller and of the peer
	next     uint64           // number of queue[0]
	inFlight int              // messages at the head of the queue that are in the last batch
	queue    []message.Send
}

// NewOutbox makes an outbox of the controller self. A peer may be left out where batches
// are delivered by other means.
func NewOutbox(self protocol.NodeName, peer *transport.Peer, log *slog.Logger) *Outbox {
	return &Outbox{self: self, peer: peer, log: log, wake: make(chan struct{}, 1)}
}

// Add queues a message. A state update is merged with one that is still waiting.
func (o *Outbox) Add(s message.Send) {
	o.mu.Lock()
	if s.From != o.from || s.Session != o.to {
		o.from, o.to, o.next, o.inFlight, o.queue = s.From, s.Session, 0, 0, nil
	}
	if s.Message.Relay != nil {
		s.Message.Relay = o.mergeWaiting(s.Message.Relay)
	}
	o.queue = append(o.queue, s)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// mergeWaiting takes the last state update that is not in flight out of the queue and
// merges it into a newer one. The caller holds mu.
func (o *Outbox) mergeWaiting(update *message.StateUpdate) *message.StateUpdate {
	for i := len(o.queue) - 1; i >= o.inFlight; i-- {
		if before := o.queue[i].Message.Relay; before != nil {
			o.queue = append(o.queue[:i], o.queue[i+1:]...)
			return mergeUpdates(before, update)
		}
	}
	return update
}

// Batch returns the messages that are to be sent next, without removing them.
func (o *Outbox) Batch() (message.Batch, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(len(o.queue), maxBatch)
	o.inFlight = n
	if n == 0 {
		return message.Batch{}, false
	}
	b := message.Batch{From: o.self, FromSession: o.from, ToSession: o.to, First: o.next}
	for _, s := range o.queue[:n] {
		b.Messages = append(b.Messages, s.Message)
		b.Term, b.Shares = max(b.Term, s.Term), max(b.Shares, s.ShardsEpoch)
	}
	return b, true
}

// HandleReply removes the messages that the peer has accepted, or all of them if a session
// is over.
func (o *Outbox) HandleReply(b message.Batch, r message.BatchReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// A late reply, to a batch sent earlier, changes nothing: what is in flight now keeps
	// its numbers.
	if b.FromSession != o.from || b.ToSession != o.to || b.First != o.next || len(b.Messages) != o.inFlight {
		return
	}
	o.inFlight = 0
	switch r {
	case message.BatchAccepted:
		o.queue = o.queue[len(b.Messages):]
		o.next += uint64(len(b.Messages))
	case message.BatchStale, message.BatchExcluded:
		o.queue = nil
	}
}

// run delivers the messages until the context ends.
func (o *Outbox) run(ctx context.Context) {
	for ctx.Err() == nil {
		if batch, ok := o.Batch(); ok {
			o.deliver(ctx, batch)
			continue
		}
		select {
		case <-o.wake:
		case <-ctx.Done():
		}
	}
}

// deliver sends a batch once, and waits if it has to be sent again later.
func (o *Outbox) deliver(ctx context.Context, batch message.Batch) {
	var reply message.BatchReply
	if err := o.peer.Call("Peer.Deliver", batch, &reply, PeerTimeout); err != nil {
		o.log.Debug("batch not delivered", "err", err)
		sleep(ctx, peerRetryDelay)
		return
	}
	o.HandleReply(batch, reply)
	switch reply {
	case message.BatchBehind:
		sleep(ctx, peerBehindDelay)
	case message.BatchExcluded:
		o.excluded()
	}
}
