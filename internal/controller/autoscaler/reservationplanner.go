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
	// retainBeforeHold is how long before a hold begins its machine is kept although it is
	// idle: the cloud may have no other machine when the hold begins.
	retainBeforeHold = 10 * time.Minute
	// maxListAge is the maximum age of the cloud's last list of machines. If it is older, a
	// reservation that needs more machines and has to be clear soon is reported at risk.
	maxListAge = 30 * time.Second
	// sweepInterval is the minimum time between checks of all started reservations for
	// missed state transitions.
	sweepInterval = time.Minute
)

// ReservationPlanner runs on the controller that is the autoscaler. It chooses the machines
// on which resources are held for reservations, plans missing machines a lead time ahead
// (the time to boot one and then a replacement), and advances the reservations through
// their states. All controllers receive the chosen holds, and place and start tasks
// according to them. The holds are chosen anew with each plan, so none of this state
// outlives a session.
type ReservationPlanner struct {
	clusterstate.Module
	table        *waittable.Table
	reservations *holds.Holds
	autoscaler   *Autoscaler

	// The last plan.
	demands   []reservation.Demand               // occurrences that the plan covers
	shortfall map[reservation.Name]int           // tasks without reliable resources held for them
	missing   map[reservation.Name]int           // the part of shortfall that is unlikely to get resources in time
	zones     map[reservation.Name]protocol.Zone // the zone of each reservation that is held in a single zone

	risks         map[reservation.Name]string // why current occurrences may not be kept
	sweptAt       clock.Time                  // when all reservations were last checked
	pendingWrites map[reservation.Name]bool   // reservations with a transaction that has not ended
}

// ReservationTag identifies a transaction that advances a reservation.
type ReservationTag struct{ name reservation.Name }

// WriteCompleted records that a transaction on a reservation has ended, whatever its outcome,
// so that the reservation may be written again: the next plan repeats a transaction that
// failed.
func (p *ReservationPlanner) WriteCompleted(tag ReservationTag) { delete(p.pendingWrites, tag.name) }

// Reset drops the state of the previous session.
func (p *ReservationPlanner) Reset() {
	p.demands, p.shortfall, p.missing = nil, map[reservation.Name]int{}, nil
	p.zones = map[reservation.Name]protocol.Zone{}
	p.risks, p.pendingWrites = map[reservation.Name]string{}, map[reservation.Name]bool{}
	p.sweptAt = 0
}

// planReservations chooses the holds, has the list of holds recorded, updates the risks and
// writes changed reservation states. It does nothing if this controller may not make plans, or
// if there are neither calendar entries nor holds. In a session that has received no list of
// holds it first waits until most machines have been inventoried or the view has been adopted
// for HoldsSettleTime.
func (p *ReservationPlanner) planReservations() {
	reservations := p.reservations
	if !reservations.HasEntries && len(reservations.List) == 0 || !p.autoscaler.mayPlan() {
		return
	}
	settled := reservations.HoldsListed || p.Since(p.autoscaler.viewAdoptedAt) >= clusterstate.HoldsSettleTime || p.mostMachinesInventoried()
	if !settled {
		return
	}
	reservations.HoldsListed = true
	p.chooseHolds()
	reservations.WriteRecord()
	p.updateRisks()
	p.advanceReservations()
}

// chooseHolds determines the occurrences that need resources, chooses the machines on which
// these are held, and adopts the chosen holds as this controller's list. A machine is usable
// for an occurrence if it is up by the start, or within a minute if that is later, and in no
// window during the occurrence.
func (p *ReservationPlanner) chooseHolds() {
	now := p.WallTime()
	p.demands = p.reservationDemands()
	usable := func(m *reservation.Machine, d *reservation.Demand) bool {
		latest := max(d.StartMS, reservation.After(now, time.Minute)) // a machine that is up late is better than none
		end := reservation.After(d.StartMS, reservation.MaxOccurrenceDuration(&d.Spec))
		return m.UpAt <= latest && !p.InWindow(m.ID, m.Info.Name, m.Zone, d.StartMS, end)
	}
	reservations := p.reservations
	plan := reservation.ChooseHolds(p.demands, p.reservableMachines(), reservations.List, usable, now)
	p.shortfall, p.missing, p.zones = plan.Short, plan.Missing, plan.Zones
	reservations.AdoptChosenList(plan.Holds)
}

// mostMachinesInventoried reports whether at least nine of ten registered machines have a
// state that includes all attempts on the machine and is at most three replication intervals
// old.
func (p *ReservationPlanner) mostMachinesInventoried() bool {
	inventoried := 0
	for _, m := range p.table.Machines {
		if p.table.IsStateRecent(m, 3*p.Operator.ReplicationInterval) && m.State.Heard {
			inventoried++
		}
	}
	return 10*inventoried >= 9*len(p.table.Machines)
}

// mustRetain reports whether a machine must not be drained although it is idle: a hold on it
// has to be clear within retainBeforeHold and has not ended, or an open maintenance window
// covers it.
func (p *ReservationPlanner) mustRetain(m *waittable.Machine) bool {
	now := p.WallTime()
	for _, h := range p.reservations.Holds[m.ID] {
		if now >= reservation.After(h.Clear, -retainBeforeHold) && now < h.Until {
			return true
		}
	}
	return len(p.reservations.Windows) > 0 && p.InWindow(m.ID, m.Record.Type, m.Record.Zone, now, now)
}

// Risk returns the reason, as operators read it, why a reservation's current occurrence may
// lack resources for some of its tasks, and whether there is such a risk.
func (p *ReservationPlanner) Risk(name reservation.Name) (risk string, ok bool) {
	risk, ok = p.risks[name]
	return risk, ok
}

// updateRisks determines which occurrences of the last plan may not be kept, and why: tasks
// lack reliable resources, ClearBy is less than retainBeforeHold away and the cloud's list is
// older than maxListAge; or ClearBy has passed and tasks are unlikely to get resources in
// time.
func (p *ReservationPlanner) updateRisks() {
	now := p.WallTime()
	clear(p.risks)
	for _, d := range p.demands {
		name := d.Spec.Name
		short, missing := p.shortfall[name], p.missing[name]
		listOverdue := p.Since(p.autoscaler.listReceivedAt) > maxListAge
		switch {
		case short > 0 && listOverdue && reservation.Between(now, d.ClearBy) < retainBeforeHold:
			p.risks[name] = fmt.Sprintf("no sure room for %d of %d tasks, and the cloud does not answer", short, d.Remaining)
		case missing > 0 && now >= d.ClearBy:
			p.risks[name] = fmt.Sprintf("no room for %d of %d tasks", missing, d.Remaining)
		}
	}
}

// advanceReservations writes the next state of the reservations whose current occurrence is in
// progress or begins within holdLookahead and, every sweepInterval, of all whose occurrence
// has started.
func (p *ReservationPlanner) advanceReservations() {
	now := p.WallTime()
	calendar := p.reservations.Calendar
	if p.Since(p.sweptAt) > sweepInterval {
		// Occurrences may have ended while no controller was the autoscaler.
		p.sweptAt = p.Now
		for _, e := range calendar.Reservations() {
			if e.StartMS < now {
				p.advanceReservation(e, now)
			}
		}
	}
	for _, e := range calendar.DueReservations(now, reservation.After(now, holdLookahead)) {
		p.advanceReservation(e, now)
	}
}

// advanceReservation writes a reservation's next state if it differs, in one transaction
// that is conditional on the reservation's record and on the view. It does nothing for a
// cancelled reservation or while an earlier transaction on the reservation has not ended.
func (p *ReservationPlanner) advanceReservation(e *reservation.Entry, now reservation.Moment) {
	name := e.Name()
	if p.pendingWrites[name] || e.State == record.Cancelled {
		return
	}
	jobAccepted, wanted, started := p.reservations.OccurrenceProgress(e)
	next, changed := reservation.AdvanceState(*e.Reservation, e.Schedule, reservation.Observation{
		Now: now, ClockError: p.Settings.Site.ClockError(), Lead: p.ReservationLeadTime(&e.Reservation.Spec),
		JobAccepted: jobAccepted, Wanted: wanted, Started: started, Risk: p.risks[name],
	})
	if !changed {
		return
	}
	p.pendingWrites[name] = true
	p.Log.Info("writing reservation state", "name", name, "state", next.State, "start", next.StartMS, "risk", next.Risk)
	p.Emit(message.Commit{Tag: ReservationTag{name}, Transaction: protocol.Transaction{
		Conditions: []protocol.Condition{{Key: record.ReservationKey(name), Version: e.Version}, p.ViewUnchanged()},
		Changes:    []protocol.Change{{Put: record.ReservationKey(name), Value: next}},
	}})
}

// RecordBootTime adds the boot time of a machine that registers for the first time to the
// sample of boot times, if it is among the autoscaler's booting machines.
func (p *ReservationPlanner) RecordBootTime(id protocol.MachineID, rec record.Machine) {
	if m, isBooting := p.autoscaler.booting[id]; isBooting && rec.Session == 1 {
		p.reservations.Boots.Note(p.Since(m.provisionedAt), p.Types[m.Type].BootS)
	}
}
