package controller

import (
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
)

// invalidMessageLogInterval is the minimum time between two log entries about invalid
// messages of peers.
const invalidMessageLogInterval = time.Minute

// handleBatch replies to a peer's batch and handles the messages in it that have not been received
// before. It skips invalid messages.
func (c *Core) handleBatch(batch message.Batch) {
	for _, received := range c.members.AcceptBatch(batch) {
		if err := received.Validate(); err != nil {
			c.logInvalidMessage(batch.From, err)
			continue
		}
		c.handlePeerMessage(batch.From, received)
	}
}

// logInvalidMessage logs a peer's message that failed validation and is ignored. Such a peer
// runs another version or is faulty.
func (c *Core) logInvalidMessage(from protocol.NodeName, err error) {
	if c.lastInvalidMessage == 0 || c.Since(c.lastInvalidMessage) > invalidMessageLogInterval {
		c.lastInvalidMessage = c.Now
		c.Log.Error("ignored an invalid message of a peer", "peer", from, "err", err)
	}
}

// handlePeerMessage passes a single message of a peer, or of this controller to itself, to the
// module that it concerns.
func (c *Core) handlePeerMessage(from protocol.NodeName, m message.PeerMessage) { //nolint:gocyclo // a plain dispatching switch
	switch {
	case m.Place != nil:
		c.dispatcher.QueuePlacements(from, m.Place)
	case m.Stop != nil:
		c.dispatcher.StopAttempt(*m.Stop)
	case m.Event != nil:
		c.jobs.HandleTaskEvent(*m.Event)
	case m.Released != nil:
		for _, ref := range m.Released {
			c.jobs.HandleTaskEvent(message.TaskEvent{TaskRef: ref, What: message.EventReleased})
		}
	case m.Forget != nil:
		c.dispatcher.ForgetAttempt(*m.Forget)
	case m.Inventory != nil:
		c.jobs.HandleInventory(from, m.Inventory)
	case m.Added != nil:
		c.waitTable.ApplyWaitsAdded(from, m.Added)
	case m.Relay != nil:
		c.handleStateUpdate(from, m.Relay)
	case m.Drain != nil:
		c.dispatcher.DrainMachine(*m.Drain)
	case m.Record != nil:
		c.registrar.RequestChange(from, *m.Record)
	case m.Done != nil:
		c.jobs.MergeCompletedTasks(m.Done)
	case m.Move != nil:
		c.dispatcher.HandOverShards(m.Move)
	case m.Hand != nil:
		c.dispatcher.ReceiveHandover(m.Hand)
	case m.AskTable:
		c.waitTable.SendCopy(from)
	case m.Table != nil:
		c.waitTable.AdoptCopy(m.Table)
	}
}
