package controller

import (
	"testing"

	"damsonkeel/internal/controller/message"
)

// TestExcludedMemberLearnsThatOthersLead: a controller that the view excludes learns from its
// peers' answers that they lead: it refuses requests alone, and does not report itself
// healthy.
func TestExcludedMemberLearnsThatOthersLead(t *testing.T) {
	b := newBench(t, "node-1")
	old := message.Batch{From: "node-1", FromSession: 101, ToSession: 100, Term: 1}
	b.view(2, "node-0")
	notified := false
	for _, a := range b.step(message.BatchReceived{Batch: old}) {
		notified = notified || a == message.ReplyBatch{Reply: message.BatchExcluded}
	}
	if !notified {
		t.Error("an excluded controller is not notified that others lead")
	}
	out := newBench(t, "node-1")
	out.step(message.PeerLeads{Peer: "node-1"})
	if !out.c.members.AnyPeerHoldsLease() {
		t.Error("requests not refused alone, though a peer leads")
	}
}
