package controller

import (
	"testing"

	"damsonkeel/internal/controller/message"
)

// TestExcludedMemberLearnsThatPeersHoldLease: a controller that is not in the view is notified
// by the answers of its peers that they hold their leases. It then refuses requests as a
// failure of its own, not of the cluster, and does not report itself healthy.
func TestExcludedMemberLearnsThatPeersHoldLease(t *testing.T) {
	h := newHarness(t, "node-1")
	batch := message.Batch{From: "node-1", FromSession: 101, ToSession: 100, Term: 1}
	h.adoptView(2, "node-0")
	notified := false
	for _, a := range h.step(message.BatchReceived{Batch: batch}) {
		notified = notified || a == message.ReplyBatch{Reply: message.BatchExcluded}
	}
	if !notified {
		t.Error("the reply to an excluded controller is not BatchExcluded")
	}
	excluded := newHarness(t, "node-1")
	excluded.step(message.PeerLeads{Peer: "node-1"})
	if !excluded.core.members.AnyPeerHoldsLease() {
		t.Error("a peer that holds its lease is not recorded")
	}
}
