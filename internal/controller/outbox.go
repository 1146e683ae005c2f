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
	batchMax    = 200
	PeerTimeout = 2 * time.Second
)

// Outbox is the actor that passes messages to one peer: in order, each until
// it is taken or one of the two sessions is over.
type Outbox struct {
	self protocol.NodeName
	peer *transport.Peer
	log  *slog.Logger
	wake chan struct{}
	// passed is told that the peer acts by a view without this controller.
	passed func()

	mu       sync.Mutex
	from, to protocol.LeaseID
	next     uint64 // number of queue[0]
	inFlight int
	queue    []message.Send
}

func NewOutbox(self protocol.NodeName, peer *transport.Peer, log *slog.Logger) *Outbox {
	return &Outbox{self: self, peer: peer, log: log, wake: make(chan struct{}, 1)}
}

// Add queues a message. A regular one takes in one that is still waiting.
func (o *Outbox) Add(s message.Send) {
	o.mu.Lock()
	if s.From != o.from || s.Session != o.to {
		o.from, o.to, o.next, o.inFlight, o.queue = s.From, s.Session, 0, 0, nil
	}
	if s.Message.Relay != nil {
		for i := len(o.queue) - 1; i >= o.inFlight; i-- {
			if before := o.queue[i].Message.Relay; before != nil {
				s.Message.Relay = mergeUpdates(before, s.Message.Relay)
				o.queue = append(o.queue[:i], o.queue[i+1:]...)
				break
			}
		}
	}
	o.queue = append(o.queue, s)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Batch takes what is waiting, without removing it.
func (o *Outbox) Batch() (message.Batch, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(len(o.queue), batchMax)
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

// HandleReply removes what was taken, or all of a session that is over.
func (o *Outbox) HandleReply(b message.Batch, r message.BatchReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// An answer that comes late, to a batch sent before, changes nothing: what
	// is in flight now keeps its numbers.
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

func (o *Outbox) run(ctx context.Context) {
	for ctx.Err() == nil {
		b, ok := o.Batch()
		if !ok {
			select {
			case <-o.wake:
			case <-ctx.Done():
			}
			continue
		}
		var reply message.BatchReply
		err := o.peer.Call("Peer.Deliver", b, &reply, PeerTimeout)
		if err != nil {
			o.log.Debug("peer", "err", err)
			sleep(ctx, 300*time.Millisecond)
			continue
		}
		o.HandleReply(b, reply)
		switch reply {
		case message.BatchBehind:
			sleep(ctx, 30*time.Millisecond)
		case message.BatchExcluded:
			o.passed()
		}
	}
}

// peerService answers peers' calls.
type peerService struct{ node *Node }

// Deliver takes a batch of messages.
func (s *peerService) Deliver(b message.Batch, reply *message.BatchReply) error {
	done := make(chan message.BatchReply, 1)
	s.node.mailbox <- envelope{msg: message.BatchReceived{Batch: b}, reply: func(actions []message.Action) {
		r := message.BatchStale
		for _, a := range actions {
			if rb, ok := a.(message.ReplyBatch); ok {
				r = rb.Reply
			}
		}
		done <- r
	}}
	*reply = <-done
	return nil
}
