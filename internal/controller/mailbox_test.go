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

// newStoppedNode returns a node whose core actor has answered a query and then ended with its
// context.
func newStoppedNode(t *testing.T) *Node {
	t.Helper()
	settings := fake.Settings()
	settings.Name, settings.Site.Limits.MaxConns = "node-0", 100
	node := NewNode(settings, config.DefaultOperator(), slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go node.runCore(ctx)
	if self, ok := queryCore(node, func(c *Core) protocol.NodeName { return c.Self }); !ok || self != "node-0" {
		t.Fatalf("the query for the core's name returned %q, %v", self, ok)
	}
	cancel()
	<-node.coreStopped
	return node
}

// TestCallsToStoppedCoreReturn: once the core actor has ended, nothing blocks on it: queries,
// calls of peers and the posting of messages return, even if the mailbox is full.
func TestCallsToStoppedCoreReturn(t *testing.T) {
	node := newStoppedNode(t)
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		if _, ok := queryCore(node, (*Core).HandedOver); ok {
			t.Error("a stopped core has answered a query")
		}
		service := &peerService{node}
		if err := service.Deliver(message.Batch{}, new(message.BatchReply)); !errors.Is(err, errStopped) {
			t.Errorf("Deliver returned the error %v", err)
		}
		var halted bool
		if err := service.Halt("job-1", &halted); !errors.Is(err, errStopped) || halted {
			t.Errorf("Halt returned %v and the error %v", halted, err)
		}
		for range mailboxSize + 1 {
			node.post(message.Tick{})
		}
	}()
	select {
	case <-returned:
	case <-time.After(10 * time.Second):
		t.Fatal("a call to a stopped core does not return")
	}
}
