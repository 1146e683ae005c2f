package autoscaler

import (
	"fmt"
	"slices"
	"time"

	"damsonkeel/internal/controller/waittable"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Holding is the work of the controller that rents machines: it chooses on which
// of them room is held for what is due, rents what is missing a boot ahead, and
// writes what becomes of reservations. What it chooses is told to all, who place
// and start by it. It is chosen anew every two seconds, so it outlives nothing.

const (
	// holdAhead is how long before its time room is held on machines that are up:
	// what does not end until then starts elsewhere.
	holdAhead = 2 * time.Hour
	// keepAhead is how much longer than a boot a machine with held room is not
	// returned: the cloud may have none when it is needed.
	keepAhead = 10 * time.Minute
	// cloudQuiet is for how long the cloud may give no list before that is a risk.
	cloudQuiet = 30 * time.Second
)

// sweepEvery is how often all reservations are looked at for what was missed.
const sweepEvery = time.Minute

// jobOf is a job as a reservation describes it, on ordinary machines.
func jobOf(s *record.ReservationSpec) *clusterstate.LiveJob {
	return &clusterstate.LiveJob{Job: protocol.Job{
		Class: s.Class, Team: s.Team, Kind: protocol.KindJobArray, Priority: s.Priority, Tasks: uint32(s.Tasks),
		CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Types: s.Types, Zone: s.Zone, OneZone: s.OneZone, EstimateS: s.LengthS,
	}}
}

// reservationDemands lists the occurrences that room is held for now.
func (rp *ReservationPlanner) reservationDemands() []reservation.Demand {
	now := rp.WallTime()
	var dues []reservation.Demand
	for _, e := range rp.reservations.Calendar.Due(now, reservation.After(now, holdAhead)) {
		if !e.Active() {
			continue
		}
		_, wanted, started := rp.reservations.JobsOf(e)
		if left := wanted - started; left > 0 {
			dues = append(dues, reservation.Demand{Reservation: e.Reservation, Left: left, Clear: reservation.After(e.StartMS, -rp.NoticeBefore(&e.Reservation.Spec))})
		}
	}
	return dues
}

// overrunning is how much longer work is reckoned to run that should be over.
const overrunning = time.Minute

// ReservableMachines lists the machines that room can be held on: those up, and those
// rented that are still to come.
func (rp *ReservationPlanner) ReservableMachines() []reservation.Machine {
	now := rp.WallTime()
	var ms []reservation.Machine
	for _, m := range rp.table.InOrder() {
		if !m.Open() {
			continue
		}
		if !rp.table.Recent(m, 3*rp.Op.RelayEvery) && len(rp.reservations.Holds[m.ID]) == 0 || m.Reported.Epoch != m.Epoch {
			// Nobody tells of it at present. Where room is held already it stays
			// so: while a controller is away its machines would lose their holds
			// to others, and be filled.
			continue
		}
		runs := slices.Clone(m.Reported.Runs)
		for i := range runs {
			r := &runs[i]
			for _, h := range rp.reservations.Holds[m.ID] {
				if !r.Sure && r.For != h.For && h.Ends != 0 {
					r.Ends = min(r.Ends, h.Ends) // as was known of it before
				}
			}
			if r.Ends < now {
				r.Ends = reservation.After(now, overrunning)
			}
		}
		ms = append(ms, reservation.Machine{ID: m.ID, Info: m.Info, Zone: m.Record.Zone, Spot: m.Record.Spot, Runs: runs})
	}
	for id, m := range ordered.Of(rp.autoscaler.bootingMachines) {
		info := rp.Types[m.Type]
		up := config.Seconds(rp.reservations.Boots.Likely(info.BootS)) - rp.Since(m.at)
		if up < 0 || rp.table.Machines[id] != nil {
			continue // late, and may never come
		}
		ms = append(ms, reservation.Machine{ID: id, Info: info, Zone: m.Zone, Spot: m.Spot, Up: reservation.After(now, up)})
	}
	return ms
}

// chooseReserved chooses where room is held, and writes what became of what is
// promised.
func (rp *ReservationPlanner) chooseReserved() {
	pr := rp.reservations
	if !pr.Any && len(pr.List) == 0 || !rp.autoscaler.isAutoscaler() {
		return
	}
	if !pr.Listed && rp.Since(rp.autoscaler.since) < clusterstate.SettleHolds && !rp.mostMachinesInventoried() {
		return
	}
	pr.Listed = true
	now := rp.WallTime()
	rp.planDemands = rp.reservationDemands()
	usable := func(m *reservation.Machine, d *reservation.Demand) bool {
		latest := max(d.StartMS, reservation.After(now, time.Minute)) // what comes later is better than nothing
		return m.Up <= latest && !rp.InWindow(m.ID, m.Info.Name, m.Zone, d.StartMS, reservation.After(d.StartMS, reservation.Busy(&d.Spec)))
	}
	plan := reservation.ChooseHolds(rp.planDemands, rp.ReservableMachines(), pr.List, usable, now)
	rp.planShortfall, rp.planMissing, rp.planZones = plan.Short, plan.Missing, plan.Zones
	if !slices.Equal(plan.Holds, pr.List) || pr.Number>>32 != uint64(rp.View.Term) {
		rp.reservations.Set(plan.Holds)
		pr.Stale = true
		pr.Number = max(pr.Number+1, uint64(rp.View.Term)<<32|1)
	}
	rp.reservations.Write()
	rp.noteRisks()
	rp.advanceReserved()
}

// mostMachinesInventoried reports whether nearly all machines are told of.
func (rp *ReservationPlanner) mostMachinesInventoried() bool {
	heard := 0
	for _, m := range rp.table.Machines {
		if rp.table.Recent(m, 3*rp.Op.RelayEvery) && m.Reported.Heard {
			heard++
		}
	}
	return 10*heard >= 9*len(rp.table.Machines)
}

// provisionReserved asks for machines for what no room could be held for, a boot
// ahead.
func (rp *ReservationPlanner) provisionReserved(p *binpack.Plan) {
	now := rp.WallTime()
	for _, d := range rp.planDemands {
		short := rp.planShortfall[d.Spec.Name]
		for _, r := range rp.autoscaler.ProvisionCalls {
			if r.reservation == d.Spec.Name {
				short -= r.Request.Count * resource.Capacity(rp.Types[r.Request.Type]).CountFitting(reservation.Size(&d.Spec))
			}
		}
		if short <= 0 || now < d.Clear {
			continue
		}
		j := jobOf(&d.Spec)
		if z := rp.planZones[d.Spec.Name]; z != "" {
			j.Zone = z
		}
		p.Provision(rp.autoscaler.work(j, resource.LevelOf(d.Spec.Priority, false), d.Spec.LengthS), short, string(d.Spec.Name))
	}
}

// keepForReservation reports whether a machine is kept for what is held on it, though
// it is idle.
func (rp *ReservationPlanner) keepForReservation(m *waittable.Machine) bool {
	now := rp.WallTime()
	for _, h := range rp.reservations.Holds[m.ID] {
		if now >= reservation.After(h.Clear, -keepAhead) && now < h.Until {
			return true
		}
	}
	return len(rp.reservations.Windows) > 0 && rp.InWindow(m.ID, m.Record.Type, m.Record.Zone, now, now)
}

// noteRisks tells why what is due may not be kept.
func (rp *ReservationPlanner) noteRisks() {
	now := rp.WallTime()
	clear(rp.Risks)
	for _, d := range rp.planDemands {
		short, missing := rp.planShortfall[d.Spec.Name], rp.planMissing[d.Spec.Name]
		switch {
		case short > 0 && rp.Since(rp.autoscaler.heardAt) > cloudQuiet && reservation.Between(now, d.Clear) < keepAhead:
			rp.Risks[d.Spec.Name] = fmt.Sprintf("no sure room for %d of %d tasks, and the cloud does not answer", short, d.Left)
		case missing > 0 && now >= d.Clear:
			rp.Risks[d.Spec.Name] = fmt.Sprintf("no room for %d of %d tasks", missing, d.Left)
		}
	}
}

// advanceReserved has reservations go through their states, each in one
// transaction on its record.
func (rp *ReservationPlanner) advanceReserved() {
	pr := rp.reservations
	now := rp.WallTime()
	if rp.Since(rp.planSwept) > sweepEvery {
		// What was due while nobody could act is long over.
		rp.planSwept = rp.Now
		for _, e := range pr.Calendar.Reservations() {
			if e.StartMS < now {
				rp.advance(e, now)
			}
		}
	}
	for _, e := range pr.Calendar.Due(now, reservation.After(now, holdAhead)) {
		rp.advance(e, now)
	}
}

// advance has one reservation go on.
func (rp *ReservationPlanner) advance(e *reservation.Entry, now reservation.Moment) {
	name := e.Name()
	if rp.planWrites[name] || e.State == record.Cancelled {
		return
	}
	came, wanted, started := rp.reservations.JobsOf(e)
	next, changed := reservation.Advance(*e.Reservation, e.When, reservation.Observation{
		Now: now, ClockError: rp.Settings.Site.ClockError(), Lead: rp.NoticeBefore(&e.Reservation.Spec),
		Came: came, Wanted: wanted, Started: started, Risk: rp.Risks[name],
	})
	if !changed {
		return
	}
	rp.planWrites[name] = true
	rp.Log.Info("reservation", "name", name, "state", next.State, "start", next.StartMS, "risk", next.Risk)
	rp.Emit(message.Commit{Tag: ReservationTag{name}, Txn: protocol.Transaction{
		Conditions: []protocol.Condition{{Key: record.ReservationKey(name), Version: e.Version}, rp.ViewUnchanged()},
		Changes:    []protocol.Change{{Put: record.ReservationKey(name), Value: next}},
	}})
}

// RecordBoot learns how long a machine took to come up.
func (rp *ReservationPlanner) RecordBoot(id protocol.MachineID, rec record.Machine) {
	if m, awaited := rp.autoscaler.bootingMachines[id]; awaited && rec.Session == 1 {
		rp.reservations.Boots.Note(rp.Since(m.at), rp.Types[m.Type].BootS)
	}
}
