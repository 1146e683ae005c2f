package controller

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
)

// newStoppedNode is a node whose core's actor has answered a question and then ended with
// its context.
func newStoppedNode(t *testing.T) *Node {
	t.Helper()
	settings := fake.Settings()
	settings.Name, settings.Site.Limits.MaxConns = "node-0", 100
	n := NewNode(settings, config.DefaultOperator(), slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go n.runCore(ctx)
	if self, ok := queryCore(n, func(c *Core) protocol.NodeName { return c.Self }); !ok || self != "node-0" {
		t.Fatalf("asked for its name, the core answered %q, %v", self, ok)
	}
	cancel()
	<-n.coreStopped
	return n
}

// TestNobodyWaitsForAStoppedCore: once the core's actor has ended, messages, questions and
// calls of peers return, also when the mailbox is full.
func TestNobodyWaitsForAStoppedCore(t *testing.T) {
	n := newStoppedNode(t)
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		if _, ok := queryCore(n, (*Core).HandedOver); ok {
			t.Error("a stopped core has answered a question")
		}
		service := &peerService{n}
		if err := service.Deliver(message.Batch{}, new(message.BatchReply)); !errors.Is(err, errStopped) {
			t.Errorf("a batch is answered with the error %v", err)
		}
		var halted bool
		if err := service.Halt("job-1", &halted); !errors.Is(err, errStopped) || halted {
			t.Errorf("a cancellation is answered with %v and the error %v", halted, err)
		}
		for range mailboxSize + 1 {
			n.post(message.Tick{})
		}
	}()
	select {
	case <-returned:
	case <-time.After(10 * time.Second):
		t.Fatal("somebody waits for a core that has stopped")
	}
}
