package autoscaler

import (
	"fmt"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/holds"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// retainAhead is how long before a hold begins its machine is no longer terminated
	// though it is idle: the cloud may have none when it is needed.
	retainAhead = 10 * time.Minute
	// cloudSilence is how long the cloud may give no list before that is a risk for
	// reservations that need more machines.
	cloudSilence = 30 * time.Second
	// sweepEvery is how often all reservations are checked for transitions that were
	// missed.
	sweepEvery = time.Minute
)

// ReservationPlanner chooses, on the controller that is the autoscaler, on which machines
// resources are held for reservations, has missing machines provisioned one boot time
// ahead, and advances the reservations through their states. The chosen holds are sent to
// all controllers, which place and start tasks by them. They are chosen anew with each
// plan, so none of this state outlives a session.
type ReservationPlanner struct {
	clusterstate.Module
	table        *waittable.Table
	reservations *holds.Holds
	autoscaler   *Autoscaler

	// The last plan.
	demands   []reservation.Demand               // occurrences that it is for
	shortfall map[reservation.Name]int           // tasks for which no certain resources are held
	missing   map[reservation.Name]int           // those of them that are unlikely to get any in time
	zones     map[reservation.Name]protocol.Zone // where the tasks of one that needs a single zone are

	risks   map[reservation.Name]string // why present occurrences may not be kept
	sweptAt clock.Time                  // when all reservations were last checked
	writing map[reservation.Name]bool   // transactions under way
}

// ReservationTag marks the transaction that advances a reservation.
type ReservationTag struct{ name reservation.Name }

// Written notes that the transaction on a reservation has ended, with whatever outcome:
// the next plan repeats one that failed.
func (p *ReservationPlanner) Written(tag ReservationTag) { delete(p.writing, tag.name) }

// Reset drops the state of the last session.
func (p *ReservationPlanner) Reset() {
	p.demands, p.shortfall, p.missing = nil, map[reservation.Name]int{}, nil
	p.zones = map[reservation.Name]protocol.Zone{}
	p.risks, p.writing = map[reservation.Name]string{}, map[reservation.Name]bool{}
	p.sweptAt = 0
}

// chooseReserved chooses the holds anew, and writes the states that reservations are in.
func (p *ReservationPlanner) chooseReserved() {
	held := p.reservations
	if !held.HasEntries && len(held.List) == 0 || !p.autoscaler.mayPlan() {
		return
	}
	settled := held.HoldsListed || p.Since(p.autoscaler.viewAdoptedAt) >= clusterstate.HoldsSettleTime || p.mostMachinesInventoried()
	if !settled {
		return
	}
	held.HoldsListed = true
	p.chooseHolds()
	held.WriteRecord()
	p.noteRisks()
	p.advanceReserved()
}

// chooseHolds chooses on which machines resources are held.
func (p *ReservationPlanner) chooseHolds() {
	now := p.WallTime()
	p.demands = p.reservationDemands()
	usable := func(m *reservation.Machine, d *reservation.Demand) bool {
		latest := max(d.StartMS, reservation.After(now, time.Minute)) // a late machine is better than none
		end := reservation.After(d.StartMS, reservation.MaxOccurrenceDuration(&d.Spec))
		return m.UpAt <= latest && !p.InWindow(m.ID, m.Info.Name, m.Zone, d.StartMS, end)
	}
	held := p.reservations
	plan := reservation.ChooseHolds(p.demands, p.reservableMachines(), held.List, usable, now)
	p.shortfall, p.missing, p.zones = plan.Short, plan.Missing, plan.Zones
	held.AdoptChosenList(plan.Holds)
}

// mostMachinesInventoried reports whether the attempts on at least nine of ten machines
// are known.
func (p *ReservationPlanner) mostMachinesInventoried() bool {
	inventoried := 0
	for _, m := range p.table.Machines {
		if p.table.IsStateRecent(m, 3*p.Operator.ReplicationInterval) && m.State.Heard {
			inventoried++
		}
	}
	return 10*inventoried >= 9*len(p.table.Machines)
}

// retainForReservation reports whether a machine must not be drained though it is idle: a
// hold on it begins soon, or a maintenance window covers it.
func (p *ReservationPlanner) retainForReservation(m *waittable.Machine) bool {
	now := p.WallTime()
	for _, h := range p.reservations.Holds[m.ID] {
		if now >= reservation.After(h.Clear, -retainAhead) && now < h.Until {
			return true
		}
	}
	return len(p.reservations.Windows) > 0 && p.InWindow(m.ID, m.Record.Type, m.Record.Zone, now, now)
}

// Risk tells why a reservation's present occurrence may not be kept; false if nothing is
// known to speak against it.
func (p *ReservationPlanner) Risk(name reservation.Name) (risk string, ok bool) {
	risk, ok = p.risks[name]
	return risk, ok
}

// noteRisks notes why present occurrences may not be kept.
func (p *ReservationPlanner) noteRisks() {
	now := p.WallTime()
	clear(p.risks)
	for _, d := range p.demands {
		name := d.Spec.Name
		short, missing := p.shortfall[name], p.missing[name]
		cloudSilent := p.Since(p.autoscaler.receivedAt) > cloudSilence
		switch {
		case short > 0 && cloudSilent && reservation.Between(now, d.ClearBy) < retainAhead:
			p.risks[name] = fmt.Sprintf("no sure room for %d of %d tasks, and the cloud does not answer", short, d.Remaining)
		case missing > 0 && now >= d.ClearBy:
			p.risks[name] = fmt.Sprintf("no room for %d of %d tasks", missing, d.Remaining)
		}
	}
}

// advanceReserved advances the reservations that are due, and now and then all others.
func (p *ReservationPlanner) advanceReserved() {
	now := p.WallTime()
	calendar := p.reservations.Calendar
	if p.Since(p.sweptAt) > sweepEvery {
		// Occurrences may have ended while no controller was the autoscaler.
		p.sweptAt = p.Now
		for _, e := range calendar.Reservations() {
			if e.StartMS < now {
				p.advance(e, now)
			}
		}
	}
	for _, e := range calendar.DueReservations(now, reservation.After(now, holdAhead)) {
		p.advance(e, now)
	}
}

// advance writes a reservation's next state, if it has changed, in one transaction that
// is conditional on its record and on the view.
func (p *ReservationPlanner) advance(e *reservation.Entry, now reservation.Moment) {
	name := e.Name()
	if p.writing[name] || e.State == record.Cancelled {
		return
	}
	came, desired, started := p.reservations.OccurrenceProgress(e)
	next, changed := reservation.AdvanceState(*e.Reservation, e.Schedule, reservation.Observation{
		Now: now, ClockError: p.Settings.Site.ClockError(), Lead: p.ReservationLeadTime(&e.Reservation.Spec),
		JobAccepted: came, Wanted: desired, Started: started, Risk: p.risks[name],
	})
	if !changed {
		return
	}
	p.writing[name] = true
	p.Log.Info("reservation", "name", name, "state", next.State, "start", next.StartMS, "risk", next.Risk)
	p.Emit(message.Commit{Tag: ReservationTag{name}, Transaction: protocol.Transaction{
		Conditions: []protocol.Condition{{Key: record.ReservationKey(name), Version: e.Version}, p.ViewUnchanged()},
		Changes:    []protocol.Change{{Put: record.ReservationKey(name), Value: next}},
	}})
}

// RecordBootTime records how long a machine that registers for the first time took to boot.
func (p *ReservationPlanner) RecordBootTime(id protocol.MachineID, rec record.Machine) {
	if m, awaited := p.autoscaler.booting[id]; awaited && rec.Session == 1 {
		p.reservations.Boots.Note(p.Since(m.at), p.Types[m.Type].BootS)
	}
}
