package controller

import (
	"testing"

	"damsonkeel/internal/controller/message"
)

// TestPassedBy: a controller left out of the view learns from its peers'
// answers that they act: it is refused alone, and does not call itself healthy.
func TestPassedBy(t *testing.T) {
	b := newBench(t, "node-1")
	old := message.Batch{From: "node-1", FromSession: 101, ToSession: 100, Term: 1}
	b.view(2, "node-0")
	passed := false
	for _, a := range b.step(message.BatchReceived{Batch: old}) {
		passed = passed || a == message.ReplyBatch{Reply: message.BatchExcluded}
	}
	if !passed {
		t.Error("a controller that was left out is not told that others act")
	}
	out := newBench(t, "node-1")
	out.step(message.PeerLeads{Peer: "node-1"})
	if !out.c.members.OthersLead() {
		t.Error("not refused alone, though a peer acts")
	}
}
