package controller

import (
	"slices"
	"time"

	"damsonkeel/internal/kvstore"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/ratelimit"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// peerUpdates is what is held of one peer's streams, and how far the peer holds
// this controller's.
type peerUpdates struct {
	machinesTo, jobsTo     replication.Cursor
	machinesFrom, jobsFrom replication.Replica
	// holdsTo and holdsFrom number what is held, as it has it of this controller
	// and the other way round.
	holdsTo, holdsFrom uint64
	short              bool // the last message could not hold all changes of machines
	at                 Time // when its word on machines was last brought up to date in this term
	// handled is, by owner, the last Place that the peer's word includes.
	handled map[protocol.NodeName]uint64
	// waits are the machines it keeps with placements that its word does not
	// include yet.
	waits map[*machineEntry]bool
	// early are states of machines whose records have not arrived here.
	early map[protocol.MachineID]message.MachineState
}

func newPeerUpdates() peerUpdates {
	return peerUpdates{handled: map[protocol.NodeName]uint64{}, waits: map[*machineEntry]bool{}, early: map[protocol.MachineID]message.MachineState{}}
}

// statesMost bounds the machines that one message tells of: a full copy, as each
// term begins with, goes out in pieces, one a tick.
const statesMost = 1000

// beginUpdates begins the streams of a new term, with all there is as changed:
// what was told in the last one may have been told to, or by, a controller that
// others have taken the machine or the job from since.
func (c *Core) beginUpdates() {
	c.dispatcher.BeginTerm()
	c.jobs.ownedChanges = replication.Log[protocol.JobID]{}
	for id := range ordered.Of(c.jobs.byID) {
		c.jobs.ownedChanges.Touch(id)
	}
	for _, m := range c.table.machines {
		m.reportedBy = nil
	}
	for _, p := range c.table.peers {
		t := &p.updates
		t.machinesTo, t.jobsTo = replication.Cursor{}, replication.Cursor{}
		t.machinesFrom.Begin(uint64(c.View.Term))
		t.jobsFrom.Begin(uint64(c.View.Term))
		t.at, t.short = 0, false
		t.holdsTo, t.holdsFrom = 0, 0
		clear(t.early)
	}
}

// dropPendingWaits forgets announced placements as a view changes: those on machines
// that this peer keeps no more, or keeps in another session, and those by owners
// that have another session now. None of them will be counted.
func (wt *waitTable) dropPendingWaits(name protocol.NodeName, p *peer, replaced map[protocol.NodeName]bool) {
	for m := range p.updates.waits {
		if replaced[name] || wt.DispatcherOf(m.ID) != name {
			m.pendingWaits = nil
		} else {
			m.pendingWaits = removeWaits(m.pendingWaits, func(w pendingWait) bool { return replaced[w.owner] })
		}
		m.recomputeWait()
		if len(m.pendingWaits) == 0 {
			delete(p.updates.waits, m)
		}
	}
	for owner, gone := range replaced {
		if gone {
			delete(p.updates.handled, owner)
		}
	}
}

// removeWaits is what is left of announced placements, in a slice of its own size.
func removeWaits(ws []pendingWait, drop func(pendingWait) bool) []pendingWait {
	var left []pendingWait
	for _, w := range ws {
		if !drop(w) {
			left = append(left, w)
		}
	}
	return left
}

// sendUpdates passes on what changed: once a relay period to everybody, in
// between only to those who lack more than one message may hold.
func (c *Core) sendUpdates(regular bool) {
	var loans map[protocol.LeaseID]ratelimit.Grant
	if regular {
		loans = c.rates.GrantRequests(c.Now)
		c.setRateAllotment() // before anybody can use what is lent
	}
	var same *message.StateUpdate // as sent to the one before
	for name, p := range ordered.Of(c.table.peers) {
		t := &p.updates
		if !regular && !t.short {
			continue
		}
		r := &message.StateUpdate{Term: c.View.Term, Acting: c.HoldsLease(), Configuration: c.Configuration.Effective().Revision, HaveMachines: t.machinesFrom.Have(), HaveJobs: t.jobsFrom.Have()}
		r.Load = message.Load{LateMS: c.tickLatenessMS, Leaving: c.Leaving}
		r.Ask = c.rates.Request(c.Now)
		if l, ok := loans[p.session]; ok {
			r.Loan = &l
		}
		r.HaveHolds = t.holdsFrom
		if c.reservations.holdsNumber != 0 && c.reservations.holdsNumber>>32 == uint64(c.View.Term) && t.holdsTo != c.reservations.holdsNumber && name != c.Self {
			r.Holds = &message.ReservationHolds{Number: c.reservations.holdsNumber, List: c.reservations.List}
		}
		if same == nil {
			r.Demand = c.placer.demand()
		} else {
			r.Demand = same.Demand
		}
		c.fillMachines(r, &t.machinesTo, same)
		t.short = r.Handled == nil
		c.jobs.fillJobs(r, &t.jobsTo)
		c.Send(name, message.PeerMessage{Relay: r})
		same = r
	}
}

// fillMachines adds what changed of machines. Most peers lack the same: what was
// put together for one serves the next.
func (c *Core) fillMachines(r *message.StateUpdate, to *replication.Cursor, same *message.StateUpdate) {
	if same != nil && same.Machines.From == to.Next() {
		r.Machines, r.States, r.Handled = same.Machines, same.States, same.Handled
		to.Sent(r.Machines.Upto)
		return
	}
	ids, upto := c.dispatcher.ChangedSince(to.Next(), statesMost)
	r.Machines = replication.Range{Stream: uint64(c.View.Term), From: to.Next(), Upto: upto}
	to.Sent(upto)
	r.States = make([]message.MachineState, 0, len(ids))
	for _, id := range ids {
		if st, kept := c.dispatcher.StateOf(id); kept {
			r.States = append(r.States, st)
		}
	}
	if upto != c.dispatcher.Changes() {
		return // the rest goes with the next
	}
	r.Handled = map[protocol.NodeName]uint64{}
	for name := range c.table.peers {
		r.Handled[name] = c.dispatcher.HandledOf(name)
	}
}

func (oj *ownedJobs) fillJobs(r *message.StateUpdate, to *replication.Cursor) {
	ids, upto := oj.ownedChanges.Since(to.Next(), statesMost)
	r.Jobs = replication.Range{Stream: uint64(oj.View.Term), From: to.Next(), Upto: upto}
	to.Sent(upto)
	for _, id := range ids {
		if o := oj.byID[id]; o != nil {
			r.Progress = append(r.Progress, oj.progressOf(o))
		}
	}
}

// stateUpdated takes a peer's regular message.
func (c *Core) stateUpdated(from protocol.NodeName, r *message.StateUpdate) {
	p := c.table.peers[from]
	if p == nil {
		return
	}
	if r.Acting {
		c.members.NoteLeading(from)
	}
	c.members.NoteLoad(from, r.Load)
	p.configuration, p.configuredAt = r.Configuration, c.Now
	p.demand = r.Demand
	if from != c.Self {
		c.rates.NoteRequest(p.session, r.Ask, c.Now)
		if r.Loan != nil {
			c.rates.NoteGrant(p.session, *r.Loan)
		}
	}
	if r.Term == c.View.Term {
		t := &p.updates
		t.machinesTo.Acknowledged(r.HaveMachines)
		t.jobsTo.Acknowledged(r.HaveJobs)
		t.holdsTo = r.HaveHolds
		if r.Holds != nil && from != c.Self {
			t.holdsFrom = r.Holds.Number
			c.reservations.Listed = true
			c.reservations.setHolds(r.Holds.List)
		}
		if t.machinesFrom.Accept(r.Machines) {
			t.at = c.Now
			for _, st := range r.States {
				c.table.applyMachineState(from, p, st)
			}
			if r.Handled != nil {
				c.table.counted(p, r.Handled)
			}
		}
		if t.jobsFrom.Accept(r.Jobs) {
			for _, g := range r.Progress {
				p.progress[g.Job] = g
			}
		}
	}
	for _, o := range c.jobs.byID {
		if o.notBefore <= c.Now && o.pending.Any() {
			c.table.placementDue = true
			break
		}
	}
}

// earlyMost bounds the states kept for machines whose records have not
// arrived: more than are registered while a watch answers.
const earlyMost = 4096

// applyMachineState takes a keeper's word on one of its machines.
func (wt *waitTable) applyMachineState(from protocol.NodeName, p *peer, st message.MachineState) {
	m := wt.machines[st.Machine]
	switch {
	case st.Epoch == 0:
		if m != nil && wt.DispatcherOf(m.ID) == from {
			m.reportedBy = nil
		}
	case m == nil || st.Epoch > m.Epoch:
		// Its record is still to come. The keeper does not tell it again.
		if len(p.updates.early) < earlyMost {
			p.updates.early[st.Machine] = st
		}
	case st.Epoch == m.Epoch && wt.DispatcherOf(m.ID) == from:
		if (m.reported.Closed || m.refused) && !st.Closed || m.reported.Epoch == 0 {
			wt.placementDue = true
		}
		if st.Runs = withKnownRuns(m.reported.Runs, st.Runs); !st.Heard && m.reported.Epoch == m.Epoch {
			st.Runs = m.reported.Runs // it has not heard the machine yet
		}
		m.reported, m.reportedBy, m.reportedAt, m.copiedWait, m.refused = st, p, wt.Now, 0, false
		m.announcedUses = resource.Uses{}
		message.AddLevelUses(&m.announcedUses, st.Uses)
	}
}

// applyEarlyState takes what the keeper of a machine said of it before its record
// arrived here.
func (wt *waitTable) applyEarlyState(m *machineEntry) {
	keeper := wt.DispatcherOf(m.ID)
	p := wt.peers[keeper]
	if p == nil {
		return
	}
	if st, ok := p.updates.early[m.ID]; ok && st.Epoch <= m.Epoch {
		delete(p.updates.early, m.ID)
		wt.applyMachineState(keeper, p, st)
	}
}

// counted drops the announced placements that a keeper's word includes now.
func (wt *waitTable) counted(p *peer, handled map[protocol.NodeName]uint64) {
	for owner, n := range handled {
		p.updates.handled[owner] = max(p.updates.handled[owner], n)
	}
	for m := range p.updates.waits {
		included := func(w pendingWait) bool { return w.number <= p.updates.handled[w.owner] }
		if slices.ContainsFunc(m.pendingWaits, included) {
			m.pendingWaits = removeWaits(m.pendingWaits, included)
			m.recomputeWait()
		}
		if len(m.pendingWaits) == 0 {
			delete(p.updates.waits, m)
		}
	}
}

// recent reports whether what is known of a machine is its keeper's word in this
// term, and that word is no older than so long.
func (wt *waitTable) recent(m *machineEntry, d time.Duration) bool {
	return m.reportedBy != nil && m.reportedBy == wt.peers[wt.DispatcherOf(m.ID)] && wt.Since(m.reportedBy.updates.at) <= d
}

// equalAllotment is this controller's part of the state service's rates before
// anything is lent.
func (c *Core) equalAllotment() ratelimit.Amount {
	site := &c.Settings.Site
	return ratelimit.Amount(kvstore.EqualAllotment(site.State.RPS, site.State.WriteRPS, site.Count))
}

// setRateAllotment has what may be used now set, if that has changed.
func (c *Core) setRateAllotment() {
	now := c.Now
	s := message.SetRateAllotment{Own: c.rates.Own(now), All: c.rates.Allotment(now)}
	if until, ok := c.rates.Until(now); ok {
		s.Until = Time(until)
	}
	if s != c.rateAllotment {
		c.rateAllotment = s
		c.Emit(s)
	}
}

// mergeUpdates is one message that says what two in a row do.
func mergeUpdates(before, after *message.StateUpdate) *message.StateUpdate {
	if before.Term != after.Term {
		return after // another stream
	}
	merged := *after
	if merged.Loan == nil {
		merged.Loan = before.Loan
	}
	if merged.Machines.Follows(before.Machines) {
		merged.Machines.From = before.Machines.From
		merged.States = latest(before.States, after.States, func(s message.MachineState) protocol.MachineID { return s.Machine })
	}
	if merged.Jobs.Follows(before.Jobs) {
		merged.Jobs.From = before.Jobs.From
		merged.Progress = latest(before.Progress, after.Progress, func(g message.Progress) protocol.JobID { return g.Job })
	}
	return &merged
}

// latest is what is said last of each thing.
func latest[K comparable, V any](before, after []V, key func(V) K) []V {
	said := make(map[K]bool, len(after))
	for _, v := range after {
		said[key(v)] = true
	}
	var all []V
	for _, v := range before {
		if !said[key(v)] {
			all = append(all, v)
		}
	}
	return append(all, after...)
}

// withKnownRuns corrects what a keeper tells of what it found on a machine by what the
// one before told: since when it has run, its worker does not say. Without that
// all room held on the machines of a controller that ended would seem lost.
func withKnownRuns(before, now []reservation.Run) []reservation.Run {
	for i := range now {
		for _, r := range before {
			if r.Task == now[i].Task && r.Attempt == now[i].Attempt {
				now[i].Ends = min(now[i].Ends, r.Ends)
				break
			}
		}
	}
	return now
}
