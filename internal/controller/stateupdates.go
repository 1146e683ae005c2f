package controller

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/ratelimit"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// statesMost bounds the machines in one state update: a full copy, with which each term
// begins, goes out in pieces, one a tick.
const statesMost = 1000

// beginUpdates begins the streams of a new term, with everything counted as changed: in
// the last term some of it may have been sent to, or by, a controller that has lost the
// machine or the job since.
func (c *Core) beginUpdates() {
	c.dispatcher.BeginTerm()
	c.jobs.BeginProgressStream()
	c.waitTable.BeginStreams()
}

// sendUpdates sends what changed to the peers: once in each update period to all of them,
// on other ticks only to those whose last message could not hold all changes.
func (c *Core) sendUpdates(regular bool) {
	var grants map[protocol.LeaseID]ratelimit.Grant
	if regular {
		grants = c.rates.GrantRequests(c.Now)
		c.setRateAllotment() // before a peer can use what is granted to it
	}
	var previous *message.StateUpdate // as sent to the peer before
	for name, peer := range ordered.ByKey(c.waitTable.Peers) {
		if !regular && !peer.Updates.Truncated {
			continue
		}
		update := c.newUpdate(name, peer)
		if grant, ok := grants[peer.Session]; ok {
			update.Loan = &grant
		}
		if previous == nil {
			update.Demand = c.placer.Demand()
		} else {
			update.Demand = previous.Demand
		}
		c.fillMachines(update, &peer.Updates.MachinesTo, previous)
		peer.Updates.Truncated = update.Handled == nil
		c.jobs.FillUpdate(update, &peer.Updates.JobsTo, statesMost)
		c.Send(name, message.PeerMessage{Relay: update})
		previous = update
	}
}

// newUpdate makes the state update for a peer, still without demand, machines and jobs.
func (c *Core) newUpdate(name protocol.NodeName, peer *waittable.Peer) *message.StateUpdate {
	update := &message.StateUpdate{
		Term:          c.View.Term,
		Acting:        c.HoldsLease(),
		Configuration: c.Configuration.Effective().Revision,
		HaveMachines:  peer.Updates.MachinesFrom.Have(),
		HaveJobs:      peer.Updates.JobsFrom.Have(),
		HaveHolds:     peer.Updates.HoldsFrom,
		Load:          message.Load{LateMS: c.tickLatenessMS, Leaving: c.Leaving},
		Ask:           c.rates.Request(c.Now),
	}
	if name != c.Self && c.holdsOfThisTerm() && peer.Updates.HoldsTo != c.reservations.ListNumber {
		update.Holds = &message.ReservationHolds{Number: c.reservations.ListNumber, List: c.reservations.List}
	}
	return update
}

// holdsOfThisTerm reports whether this controller has planned the reservations' holds in
// this term: the upper half of their number is the term.
func (c *Core) holdsOfThisTerm() bool {
	number := c.reservations.ListNumber
	return number != 0 && number>>32 == uint64(c.View.Term)
}

// fillMachines adds what changed of machines. Most peers lack the same changes: what was
// collected for the peer before is used again if it starts from the same place.
func (c *Core) fillMachines(update *message.StateUpdate, to *replication.Cursor, previous *message.StateUpdate) {
	if previous != nil && previous.Machines.From == to.SentUpTo() {
		update.Machines, update.States, update.Handled = previous.Machines, previous.States, previous.Handled
		to.MarkSent(update.Machines.Upto)
		return
	}
	ids, upto := c.dispatcher.MachinesChangedSince(to.SentUpTo(), statesMost)
	update.Machines = replication.Range{Stream: uint64(c.View.Term), From: to.SentUpTo(), Upto: upto}
	to.MarkSent(upto)
	update.States = make([]message.MachineState, 0, len(ids))
	for _, id := range ids {
		if state, queued := c.dispatcher.PublishedState(id); queued {
			update.States = append(update.States, state)
		}
	}
	if upto != c.dispatcher.ChangeLogVersion() {
		return // the rest goes with the next update
	}
	update.Handled = map[protocol.NodeName]uint64{}
	for name := range c.waitTable.Peers {
		update.Handled[name] = c.dispatcher.LastHandledPlace(name)
	}
}

// stateUpdated handles a peer's state update.
func (c *Core) stateUpdated(from protocol.NodeName, update *message.StateUpdate) {
	peer := c.waitTable.Peers[from]
	if peer == nil {
		return
	}
	if update.Acting {
		c.members.NoteHoldsLease(from)
	}
	c.members.NoteLoad(from, update.Load)
	peer.Configuration, peer.ConfiguredAt = update.Configuration, c.Now
	peer.Demand = update.Demand
	if from != c.Self {
		c.rates.NoteRequest(peer.Session, update.Ask, c.Now)
		if update.Loan != nil {
			c.rates.NoteGrant(peer.Session, *update.Loan)
		}
	}
	if update.Term == c.View.Term {
		c.applyStreams(from, peer, update)
	}
	if c.jobs.HasPlaceableTask() {
		c.waitTable.PlacementDue = true
	}
}

// applyStreams applies the streams of this term in a peer's state update: its machines,
// its jobs and the holds of reservations.
func (c *Core) applyStreams(from protocol.NodeName, peer *waittable.Peer, update *message.StateUpdate) {
	streams := &peer.Updates
	streams.MachinesTo.HandleAcknowledgement(update.HaveMachines)
	streams.JobsTo.HandleAcknowledgement(update.HaveJobs)
	streams.HoldsTo = update.HaveHolds
	if update.Holds != nil && from != c.Self {
		streams.HoldsFrom = update.Holds.Number
		c.reservations.HoldsListed = true
		c.reservations.ReplaceList(update.Holds.List)
	}
	if streams.MachinesFrom.Accept(update.Machines) {
		streams.MachinesReceivedAt = c.Now
		for _, state := range update.States {
			c.waitTable.ApplyMachineState(from, peer, state)
		}
		if update.Handled != nil {
			c.waitTable.DropIncludedWaits(peer, update.Handled)
		}
	}
	if streams.JobsFrom.Accept(update.Jobs) {
		for _, progress := range update.Progress {
			peer.Progress[progress.Job] = progress
		}
	}
}
