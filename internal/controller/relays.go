package controller

import (
	"damsonkeel/internal/kvstore"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/ratelimit"
	"damsonkeel/internal/controller/replication"
	"damsonkeel/internal/protocol"
)

// statesMost bounds the machines that one message tells of: a full copy, as each
// term begins with, goes out in pieces, one a tick.
const statesMost = 1000

// beginUpdates begins the streams of a new term, with all there is as changed:
// what was told in the last one may have been told to, or by, a controller that
// others have taken the machine or the job from since.
func (c *Core) beginUpdates() {
	c.dispatcher.BeginTerm()
	c.jobs.BeginStream()
	c.table.BeginStreams()
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
	for name, p := range ordered.Of(c.table.Peers) {
		t := &p.Updates
		if !regular && !t.Short {
			continue
		}
		r := &message.StateUpdate{Term: c.View.Term, Acting: c.HoldsLease(), Configuration: c.Configuration.Effective().Revision, HaveMachines: t.MachinesFrom.Have(), HaveJobs: t.JobsFrom.Have()}
		r.Load = message.Load{LateMS: c.tickLatenessMS, Leaving: c.Leaving}
		r.Ask = c.rates.Request(c.Now)
		if l, ok := loans[p.Session]; ok {
			r.Loan = &l
		}
		r.HaveHolds = t.HoldsFrom
		if c.reservations.Number != 0 && c.reservations.Number>>32 == uint64(c.View.Term) && t.HoldsTo != c.reservations.Number && name != c.Self {
			r.Holds = &message.ReservationHolds{Number: c.reservations.Number, List: c.reservations.List}
		}
		if same == nil {
			r.Demand = c.placer.Demand()
		} else {
			r.Demand = same.Demand
		}
		c.fillMachines(r, &t.MachinesTo, same)
		t.Short = r.Handled == nil
		c.jobs.FillUpdate(r, &t.JobsTo, statesMost)
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
	for name := range c.table.Peers {
		r.Handled[name] = c.dispatcher.HandledPlaces(name)
	}
}

// stateUpdated takes a peer's regular message.
func (c *Core) stateUpdated(from protocol.NodeName, r *message.StateUpdate) {
	p := c.table.Peers[from]
	if p == nil {
		return
	}
	if r.Acting {
		c.members.NoteLeading(from)
	}
	c.members.NoteLoad(from, r.Load)
	p.Configuration, p.ConfiguredAt = r.Configuration, c.Now
	p.Demand = r.Demand
	if from != c.Self {
		c.rates.NoteRequest(p.Session, r.Ask, c.Now)
		if r.Loan != nil {
			c.rates.NoteGrant(p.Session, *r.Loan)
		}
	}
	if r.Term == c.View.Term {
		t := &p.Updates
		t.MachinesTo.Acknowledged(r.HaveMachines)
		t.JobsTo.Acknowledged(r.HaveJobs)
		t.HoldsTo = r.HaveHolds
		if r.Holds != nil && from != c.Self {
			t.HoldsFrom = r.Holds.Number
			c.reservations.Listed = true
			c.reservations.Set(r.Holds.List)
		}
		if t.MachinesFrom.Accept(r.Machines) {
			t.At = c.Now
			for _, st := range r.States {
				c.table.ApplyMachineState(from, p, st)
			}
			if r.Handled != nil {
				c.table.DropCounted(p, r.Handled)
			}
		}
		if t.JobsFrom.Accept(r.Jobs) {
			for _, g := range r.Progress {
				p.Progress[g.Job] = g
			}
		}
	}
	if c.jobs.AnyPlaceable() {
		c.table.PlacementDue = true
	}
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
