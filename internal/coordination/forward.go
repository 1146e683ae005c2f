package coordination

import (
	"context"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

// forward passes submissions on to a peer that acts, where the state service
// refuses this controller alone.
type forward struct {
	peers  map[protocol.NodeName]caller
	acting func() []protocol.NodeName
}

// caller is a transport.Peer.
type caller interface {
	Call(method string, args, reply any, timeout time.Duration) error
}

// Submission is a user's submission, passed on.
type Submission struct{ Body []byte }

// SubmissionReply is what the user is to be told.
type SubmissionReply struct {
	Status      int
	Body        []byte
	RetryAfterS int
}

func newForward(n *Node) forward {
	f := forward{peers: map[protocol.NodeName]caller{}, acting: func() []protocol.NodeName {
		names, _ := ask(n, (*Core).actingPeers)
		return names
	}}
	for _, m := range n.settings.Members {
		f.peers[m.Name] = transport.NewPeer(m.Peer) // not the outbox's, whose calls may wait
	}
	return f
}

// forwardWait is how long a peer may take for a submission.
const forwardWait = 700 * time.Millisecond

// submit has one peer answer a submission that this controller can't take, and
// returns its answer, or own where none acts or the one asked does not answer:
// it may have been accepted then, which a repeat by the user finds out.
func (f forward) submit(ctx context.Context, body []byte, own *transport.Message) *transport.Message {
	wait := forwardWait
	if end, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(end))
	}
	acting := f.acting()
	if len(acting) == 0 || wait <= 0 {
		return own
	}
	peer := f.peers[acting[0]]
	if peer == nil {
		return own
	}
	var r SubmissionReply
	if err := peer.Call("Peer.Submit", Submission{body}, &r, wait); err != nil || r.Status == 0 {
		return own
	}
	return &transport.Message{Status: r.Status, Body: r.Body, RetryAfterS: r.RetryAfterS}
}

// accept answers a user's submission. One hop is all: a peer answers what it
// is passed by itself.
func (in *intake) accept(ctx context.Context, body []byte) *transport.Message {
	m := in.submit(ctx, body)
	if m.Status == 503 {
		m = in.next.submit(ctx, body, m)
	}
	return m
}

// Submit answers a submission that a peer could not take.
func (s *peerService) Submit(m Submission, reply *SubmissionReply) error {
	in := s.node.intake
	a := failure(503, "too many requests at once")
	select {
	case in.slots <- struct{}{}:
		ctx, cancel := context.WithTimeout(context.Background(), forwardWait)
		a = in.submit(ctx, m.Body)
		cancel()
		<-in.slots
	default:
	}
	*reply = SubmissionReply{Status: a.Status, Body: a.Body, RetryAfterS: a.RetryAfterS}
	return nil
}
