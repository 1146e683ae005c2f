package controller

import (
	"fmt"
	"slices"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/autoscaler"
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

type (
	reservationTag struct{ name reservation.Name }
	holdsTag       struct{}
)

// jobOf is a job as a reservation describes it, on ordinary machines.
func jobOf(s *record.ReservationSpec) *clusterstate.LiveJob {
	return &clusterstate.LiveJob{Job: protocol.Job{
		Class: s.Class, Team: s.Team, Kind: protocol.KindJobArray, Priority: s.Priority, Tasks: uint32(s.Tasks),
		CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Types: s.Types, Zone: s.Zone, OneZone: s.OneZone, EstimateS: s.LengthS,
	}}
}

// reservationDemands lists the occurrences that room is held for now.
func (c *Core) reservationDemands() []reservation.Demand {
	now := c.WallTime()
	var dues []reservation.Demand
	for _, e := range c.reservations.Calendar.Due(now, reservation.After(now, holdAhead)) {
		if !e.Active() {
			continue
		}
		_, wanted, started := c.jobsOf(e)
		if left := wanted - started; left > 0 {
			dues = append(dues, reservation.Demand{Reservation: e.Reservation, Left: left, Clear: reservation.After(e.StartMS, -c.NoticeBefore(&e.Reservation.Spec))})
		}
	}
	return dues
}

// overrunning is how much longer work is reckoned to run that should be over.
const overrunning = time.Minute

// reservableMachines lists the machines that room can be held on: those up, and those
// rented that are still to come.
func (c *Core) reservableMachines() []reservation.Machine {
	now := c.WallTime()
	var ms []reservation.Machine
	for _, m := range c.machinesInOrder() {
		if !m.open() {
			continue
		}
		if !c.recent(m, 3*c.Op.RelayEvery) && len(c.reservations.Holds[m.ID]) == 0 || m.reported.Epoch != m.Epoch {
			// Nobody tells of it at present. Where room is held already it stays
			// so: while a controller is away its machines would lose their holds
			// to others, and be filled.
			continue
		}
		runs := slices.Clone(m.reported.Runs)
		for i := range runs {
			r := &runs[i]
			for _, h := range c.reservations.Holds[m.ID] {
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
	for id, m := range ordered.Of(c.autoscaler.bootingMachines) {
		info := c.Types[m.Type]
		up := config.Seconds(c.reservations.Boots.Likely(info.BootS)) - c.Since(m.at)
		if up < 0 || c.machines[id] != nil {
			continue // late, and may never come
		}
		ms = append(ms, reservation.Machine{ID: id, Info: info, Zone: m.Zone, Spot: m.Spot, Up: reservation.After(now, up)})
	}
	return ms
}

// chooseReserved chooses where room is held, and writes what became of what is
// promised.
func (c *Core) chooseReserved() {
	pr := &c.reservations
	if !pr.Any && len(pr.List) == 0 || !c.isAutoscaler() {
		return
	}
	if !pr.Listed && c.Since(c.autoscaler.since) < clusterstate.SettleHolds && !c.mostMachinesInventoried() {
		return
	}
	pr.Listed = true
	now := c.WallTime()
	pr.demands = c.reservationDemands()
	usable := func(m *reservation.Machine, d *reservation.Demand) bool {
		latest := max(d.StartMS, reservation.After(now, time.Minute)) // what comes later is better than nothing
		return m.Up <= latest && !c.InWindow(m.ID, m.Info.Name, m.Zone, d.StartMS, reservation.After(d.StartMS, reservation.Busy(&d.Spec)))
	}
	plan := reservation.ChooseHolds(pr.demands, c.reservableMachines(), pr.List, usable, now)
	pr.short, pr.missing, pr.zones = plan.Short, plan.Missing, plan.Zones
	if !slices.Equal(plan.Holds, pr.List) || pr.number>>32 != uint64(c.View.Term) {
		c.setHolds(plan.Holds)
		pr.stale = true
		pr.number = max(pr.number+1, uint64(c.View.Term)<<32|1)
	}
	c.writeHolds()
	c.noteRisks()
	c.advanceReserved()
}

// mostMachinesInventoried reports whether nearly all machines are told of.
func (c *Core) mostMachinesInventoried() bool {
	heard := 0
	for _, m := range c.machines {
		if c.recent(m, 3*c.Op.RelayEvery) && m.reported.Heard {
			heard++
		}
	}
	return 10*heard >= 9*len(c.machines)
}

// holdsRecord is what is held, as it is written for who starts anew.
type holdsRecord struct {
	Holds []reservation.Hold `cbor:"holds"`
}

const (
	// writeHeldEvery is how often it is written at the most.
	writeHeldEvery = 5 * time.Second
	// heldBytes is more than one hold takes in a record.
	heldBytes = 350
)

// writeHolds writes what is held, what is due first if not all of it fits into a
// record. Nothing depends on it but how soon the same is held again after all
// controllers have ended: without it their machines are filled before any of
// them knows what was held.
func (c *Core) writeHolds() {
	pr := &c.reservations
	if !pr.stale || c.Since(pr.written) < writeHeldEvery {
		return
	}
	pr.stale, pr.written = false, c.Now
	list := pr.List[:min(len(pr.List), int(1024*c.Settings.Site.State.ValueKB/heldBytes))]
	c.Emit(message.Commit{Tag: holdsTag{}, Txn: protocol.Transaction{
		Conditions: []protocol.Condition{c.ViewUnchanged(), {Key: record.ReservationHoldsKey, Version: pr.heldVersion}},
		Changes:    []protocol.Change{{Put: record.ReservationHoldsKey, Value: holdsRecord{list}}},
	}})
}

// holdsRecord takes over what was written, unless a list was heard already, which
// is newer.
func (c *Core) holdsRecord(value protocol.RawValue, version protocol.Version) error {
	c.reservations.heldVersion = version
	var r holdsRecord
	if err := protocol.Decode(value, &r); err != nil || c.reservations.Listed {
		return err
	}
	c.reservations.Listed = true
	c.setHolds(r.Holds)
	return nil
}

// setHolds takes over what is held.
func (c *Core) setHolds(list []reservation.Hold) {
	pr := &c.reservations
	pr.List = list
	pr.Holds = map[protocol.MachineID][]reservation.Hold{}
	for _, h := range list {
		pr.Holds[h.Machine] = append(pr.Holds[h.Machine], h)
	}
	c.computeReserved()
	c.owner.placementDue = true
}

// provisionReserved asks for machines for what no room could be held for, a boot
// ahead.
func (c *Core) provisionReserved(p *autoscaler.Plan) {
	now := c.WallTime()
	for _, d := range c.reservations.demands {
		short := c.reservations.short[d.Spec.Name]
		for _, r := range c.autoscaler.provisionCalls {
			if r.reservation == d.Spec.Name {
				short -= r.req.Count * resource.Capacity(c.Types[r.req.Type]).CountFitting(reservation.Size(&d.Spec))
			}
		}
		if short <= 0 || now < d.Clear {
			continue
		}
		j := jobOf(&d.Spec)
		if z := c.reservations.zones[d.Spec.Name]; z != "" {
			j.Zone = z
		}
		p.Provision(c.work(j, resource.LevelOf(d.Spec.Priority, false), d.Spec.LengthS), short, string(d.Spec.Name))
	}
}

// keepForReservation reports whether a machine is kept for what is held on it, though
// it is idle.
func (c *Core) keepForReservation(m *machineEntry) bool {
	now := c.WallTime()
	for _, h := range c.reservations.Holds[m.ID] {
		if now >= reservation.After(h.Clear, -keepAhead) && now < h.Until {
			return true
		}
	}
	return len(c.reservations.Windows) > 0 && c.InWindow(m.ID, m.Record.Type, m.Record.Zone, now, now)
}

// noteRisks tells why what is due may not be kept.
func (c *Core) noteRisks() {
	pr := &c.reservations
	now := c.WallTime()
	clear(pr.risk)
	for _, d := range pr.demands {
		short, missing := pr.short[d.Spec.Name], pr.missing[d.Spec.Name]
		switch {
		case short > 0 && c.Since(c.autoscaler.heardAt) > cloudQuiet && reservation.Between(now, d.Clear) < keepAhead:
			pr.risk[d.Spec.Name] = fmt.Sprintf("no sure room for %d of %d tasks, and the cloud does not answer", short, d.Left)
		case missing > 0 && now >= d.Clear:
			pr.risk[d.Spec.Name] = fmt.Sprintf("no room for %d of %d tasks", missing, d.Left)
		}
	}
}

// advanceReserved has reservations go through their states, each in one
// transaction on its record.
func (c *Core) advanceReserved() {
	pr := &c.reservations
	now := c.WallTime()
	if c.Since(pr.swept) > sweepEvery {
		// What was due while nobody could act is long over.
		pr.swept = c.Now
		for _, e := range pr.Calendar.Reservations() {
			if e.StartMS < now {
				c.advance(e, now)
			}
		}
	}
	for _, e := range pr.Calendar.Due(now, reservation.After(now, holdAhead)) {
		c.advance(e, now)
	}
}

// advance has one reservation go on.
func (c *Core) advance(e *reservation.Entry, now reservation.Moment) {
	pr, name := &c.reservations, e.Name()
	if pr.write[name] || e.State == record.Cancelled {
		return
	}
	came, wanted, started := c.jobsOf(e)
	next, changed := reservation.Advance(*e.Reservation, e.When, reservation.Observation{
		Now: now, ClockError: c.Settings.Site.ClockError(), Lead: c.NoticeBefore(&e.Reservation.Spec),
		Came: came, Wanted: wanted, Started: started, Risk: pr.risk[name],
	})
	if !changed {
		return
	}
	pr.write[name] = true
	c.Log.Info("reservation", "name", name, "state", next.State, "start", next.StartMS, "risk", next.Risk)
	c.Emit(message.Commit{Tag: reservationTag{name}, Txn: protocol.Transaction{
		Conditions: []protocol.Condition{{Key: record.ReservationKey(name), Version: e.Version}, c.ViewUnchanged()},
		Changes:    []protocol.Change{{Put: record.ReservationKey(name), Value: next}},
	}})
}

// recordBoot learns how long a machine took to come up.
func (c *Core) recordBoot(id protocol.MachineID, rec record.Machine) {
	if m, awaited := c.autoscaler.bootingMachines[id]; awaited && rec.Session == 1 {
		c.reservations.Boots.Note(c.Since(m.at), c.Types[m.Type].BootS)
	}
}

// limitClaimed is what of a team's limit is promised to other jobs by the time
// that a task of this one is likely to be over.
func (c *Core) limitClaimed(o *ownedJob) (sum resource.Amount) {
	claims := c.reservations.teams[o.Team]
	if len(claims) == 0 {
		return sum
	}
	ends := reservation.After(c.WallTime(), config.Seconds(c.ExpectedRunSeconds(&o.Job, c.estimateOf(o))))
	of := c.ReservationFilter(&o.Job)
	for _, t := range claims {
		if ends > t.from && !of(t.of) {
			sum = sum.Plus(t.need)
		}
	}
	return sum
}
