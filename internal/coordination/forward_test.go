package coordination

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"damsonkeel/internal/coordination/message"
	"damsonkeel/internal/protocol"
)

// callerFunc plays a peer.
type callerFunc func(args, reply any) error

func (f callerFunc) Call(_ string, args, reply any, _ time.Duration) error { return f(args, reply) }

// TestForward: what this controller can't take one peer that acts is asked
// once, and its answer given back as it is; without an answer the user is told
// to come back, never that the job was accepted.
func TestForward(t *testing.T) {
	own := failure(503, "state service can't be asked")
	for _, tc := range []struct {
		name   string
		acting []protocol.NodeName
		reply  SubmissionReply
		err    error
		asked  int
		status int
	}{
		{"nobody acts", nil, SubmissionReply{Status: 201}, nil, 0, 503},
		{"accepted", []protocol.NodeName{"node-1", "node-2"}, SubmissionReply{Status: 201, Body: []byte("yes")}, nil, 1, 201},
		{"refused", []protocol.NodeName{"node-1", "node-2"}, SubmissionReply{Status: 422}, nil, 1, 422},
		{"refused there, too", []protocol.NodeName{"node-1", "node-2"}, SubmissionReply{Status: 503, RetryAfterS: 2}, nil, 1, 503},
		{"no answer", []protocol.NodeName{"node-1"}, SubmissionReply{Status: 201}, errors.New("timeout"), 1, 503},
		{"an empty answer", []protocol.NodeName{"node-1"}, SubmissionReply{}, nil, 1, 503},
		{"one not known", []protocol.NodeName{"node-9"}, SubmissionReply{Status: 201}, nil, 0, 503},
	} {
		asked := 0
		peer := callerFunc(func(args, reply any) error {
			asked++
			if s, ok := args.(Submission); !ok || string(s.Body) != "job" {
				t.Errorf("%s: asked %v", tc.name, args)
			}
			*reply.(*SubmissionReply) = tc.reply
			return tc.err
		})
		f := forward{peers: map[protocol.NodeName]caller{"node-1": peer, "node-2": peer}, acting: func() []protocol.NodeName { return tc.acting }}
		m := f.submit(context.Background(), []byte("job"), own)
		if asked != tc.asked || m.Status != tc.status {
			t.Errorf("%s: %d asked, answer %d, want %d and %d", tc.name, asked, m.Status, tc.asked, tc.status)
		}
		if m.Status == 503 && m.RetryAfterS == 0 {
			t.Errorf("%s: not said when to come back", tc.name)
		}
		if m.Status == 201 && !bytes.Equal(m.Body, tc.reply.Body) {
			t.Errorf("%s: body %q", tc.name, m.Body)
		}
	}
	ended, cancel := context.WithDeadline(context.Background(), time.Now())
	defer cancel()
	f := forward{peers: map[protocol.NodeName]caller{}, acting: func() []protocol.NodeName { return []protocol.NodeName{"node-1"} }}
	if m := f.submit(ended, nil, own); m != own {
		t.Error("asked though there is no time left")
	}
}

// TestPassedBy: a controller left out of the view learns from its peers'
// answers that they act: it is refused alone, and does not call itself healthy.
func TestPassedBy(t *testing.T) {
	b := newBench(t, "node-1")
	old := message.Batch{From: "node-1", FromSession: 101, ToSession: 100, Term: 1}
	b.view(2, "node-0")
	passed := false
	for _, a := range b.step(message.Received{Batch: old}) {
		passed = passed || a == message.ReplyBatch{Reply: message.BatchPassed}
	}
	if !passed {
		t.Error("a controller that was left out is not told that others act")
	}
	out := newBench(t, "node-1")
	out.step(message.PeerActs{Peer: "node-1"})
	if !out.c.members.OthersAct() {
		t.Error("not refused alone, though a peer acts")
	}
}
