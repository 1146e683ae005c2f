package controller

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/ratelimit"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// maxStatesPerUpdate bounds the number of machines in a state update. The full copy at the
// beginning of each term is sent in several updates, one per tick.
const maxStatesPerUpdate = 1000

// beginUpdateStreams begins the streams of changes of a new term, by which machines' and jobs'
// states are replicated to the peers, and marks all these states as changed: in the last term,
// state may have been sent to or by a controller that no longer holds the machine or the job.
func (c *Core) beginUpdateStreams() {
	c.dispatcher.BeginTerm()
	c.jobs.BeginProgressStream()
	c.waitTable.BeginStreams()
}

// sendStateUpdates sends the changed state to the peers: once per replication interval to all of
// them, and on other ticks only to the peers whose last update was truncated, that is, did not
// contain the changed states of all machines.
func (c *Core) sendStateUpdates(toAllPeers bool) {
	var grants map[protocol.LeaseID]ratelimit.Grant
	if toAllPeers {
		grants = c.rates.GrantRequests(c.Now)
		c.emitRateAllotment() // before a peer can use the rates that it is granted
	}
	var previous *message.StateUpdate // the update for the previous peer
	for name, peer := range ordered.ByKey(c.waitTable.Peers) {
		if !toAllPeers && !peer.Updates.Truncated {
			continue
		}
		update := c.newStateUpdate(name, peer)
		if grant, ok := grants[peer.Session]; ok {
			update.Loan = &grant
		}
		if previous == nil {
			update.Demand = c.placer.Demand()
		} else {
			update.Demand = previous.Demand
		}
		c.fillMachineStates(update, &peer.Updates.MachinesTo, previous)
		peer.Updates.Truncated = update.Handled == nil
		c.jobs.FillUpdate(update, &peer.Updates.JobsTo, maxStatesPerUpdate)
		c.Send(name, message.PeerMessage{Relay: update})
		previous = update
	}
}

// newStateUpdate returns the state update for a peer without its demand, machines and jobs,
// which the caller fills in.
func (c *Core) newStateUpdate(name protocol.NodeName, peer *waittable.Peer) *message.StateUpdate {
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
	if name != c.Self && c.hasHoldsOfCurrentTerm() && peer.Updates.HoldsTo != c.reservations.ListNumber {
		update.Holds = &message.ReservationHolds{Number: c.reservations.ListNumber, List: c.reservations.List}
	}
	return update
}

// hasHoldsOfCurrentTerm reports whether this controller has chosen the list of the
// reservations' holds in the current term: the upper half of the list's number is the term of
// the choice.
func (c *Core) hasHoldsOfCurrentTerm() bool {
	number := c.reservations.ListNumber
	return number != 0 && number>>32 == uint64(c.View.Term)
}

// fillMachineStates adds the states of the machines that have changed since the last update to
// the peer, at most maxStatesPerUpdate, to an update. If these are all, it also sets Handled.
// Most peers need the same changes, so the states of the previous peer's update are reused if
// its range starts at the same change.
func (c *Core) fillMachineStates(update *message.StateUpdate, cursor *replication.Cursor, previous *message.StateUpdate) {
	if previous != nil && previous.Machines.From == cursor.SentUpTo() {
		update.Machines, update.States, update.Handled = previous.Machines, previous.States, previous.Handled
		cursor.MarkSent(update.Machines.Upto)
		return
	}
	ids, upto := c.dispatcher.MachinesChangedSince(cursor.SentUpTo(), maxStatesPerUpdate)
	update.Machines = replication.Range{Stream: uint64(c.View.Term), From: cursor.SentUpTo(), Upto: upto}
	cursor.MarkSent(upto)
	update.States = make([]message.MachineState, 0, len(ids))
	for _, id := range ids {
		if state, queued := c.dispatcher.PublishedState(id); queued {
			update.States = append(update.States, state)
		}
	}
	if upto != c.dispatcher.ChangeLogVersion() {
		return // the next update contains the rest
	}
	update.Handled = map[protocol.NodeName]uint64{}
	for name := range c.waitTable.Peers {
		update.Handled[name] = c.dispatcher.LastHandledPlace(name)
	}
}

// handleStateUpdate records the content of a peer's state update: its load, its lease, its
// configuration, its demand, its request and grant of rates and, if the update is of the current
// term, the changes of its machines, jobs and holds. If an owned job has a task to place, it
// makes the next placing round due. An update of a controller that is not a peer is ignored.
func (c *Core) handleStateUpdate(from protocol.NodeName, update *message.StateUpdate) {
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

// applyStreams applies the part of a peer's state update that depends on the term: what the peer
// acknowledges of this controller's changes, and the peer's changes of its machines, its jobs
// and the holds of reservations. Changes that leave a gap or are outdated are ignored.
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
