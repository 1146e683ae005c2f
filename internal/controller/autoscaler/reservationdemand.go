package autoscaler

import (
	"slices"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// holdLookahead is how long before the start of an occurrence resources are first held
	// for it on machines. Tasks that don't end before the occurrence then start on other
	// machines.
	holdLookahead = 2 * time.Hour
	// expectedOverrun is how much longer from now an attempt is expected to run whose
	// expected end has passed.
	expectedOverrun = time.Minute
)

// jobFromSpec returns a job array with the tasks that a reservation describes. It may not use
// spot machines: those provisioned for a reservation are on-demand.
func jobFromSpec(s *record.ReservationSpec) *clusterstate.LiveJob {
	return &clusterstate.LiveJob{Job: protocol.Job{
		Class: s.Class, Team: s.Team, Kind: protocol.KindJobArray, Priority: s.Priority, Tasks: uint32(s.Tasks),
		CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Types: s.Types, Zone: s.Zone, OneZone: s.OneZone, EstimateS: s.LengthS,
	}}
}

// reservationDemands lists the occurrences for which resources have to be held now, with the
// number of their tasks that have not started: the current occurrences of accepted or holding
// reservations that are in progress or begin within holdLookahead. Occurrences all of whose
// tasks have started are left out.
func (p *ReservationPlanner) reservationDemands() []reservation.Demand {
	now := p.WallTime()
	var demands []reservation.Demand
	for _, e := range p.reservations.Calendar.DueReservations(now, reservation.After(now, holdLookahead)) {
		if !e.Active() {
			continue
		}
		_, wanted, started := p.reservations.OccurrenceProgress(e)
		if remaining := wanted - started; remaining > 0 {
			clearBy := reservation.After(e.StartMS, -p.ReservationLeadTime(&e.Reservation.Spec))
			demands = append(demands, reservation.Demand{Reservation: e.Reservation, Remaining: remaining, ClearBy: clearBy})
		}
	}
	return demands
}

// reservableMachines lists the machines on which resources can be held: registered ones, and
// booting ones that are not overdue.
func (p *ReservationPlanner) reservableMachines() []reservation.Machine {
	now := p.WallTime()
	var machines []reservation.Machine
	for _, m := range p.table.InOrder() {
		if p.isReservable(m) {
			machines = append(machines, reservation.Machine{
				ID: m.ID, Info: m.Info, Zone: m.Record.Zone, Spot: m.Record.Spot, Runs: p.expectedRuns(m, now),
			})
		}
	}
	for id, m := range ordered.ByKey(p.autoscaler.booting) {
		info := p.Types[m.Type]
		remaining := config.Seconds(p.reservations.Boots.LikelySeconds(info.BootS)) - p.Since(m.provisionedAt)
		if remaining < 0 || p.table.Machines[id] != nil {
			continue // it is overdue and may never register, or it has registered
		}
		machines = append(machines, reservation.Machine{
			ID: id, Info: info, Zone: m.Zone, Spot: m.Spot, UpAt: reservation.After(now, remaining),
		})
	}
	return machines
}

// isReservable reports whether resources can be held on a registered machine: it is neither
// closed, draining nor quarantined, and its published state belongs to its present agent
// epoch (the version of its record). The state has to be at most three replication intervals
// old unless there are holds on the machine already: otherwise the machines of an unreachable
// controller would lose their holds, and other work would fill them.
func (p *ReservationPlanner) isReservable(m *waittable.Machine) bool {
	if !m.Open() || m.State.Epoch != m.Epoch {
		return false
	}
	return p.table.IsStateRecent(m, 3*p.Operator.ReplicationInterval) || len(p.reservations.Holds[m.ID]) > 0
}

// expectedRuns returns the attempts on a machine with their expected end times. An attempt
// whose start is not confirmed ends no later than was expected when a hold for other work was
// chosen on the machine. End times in the past are replaced by expectedOverrun from now.
func (p *ReservationPlanner) expectedRuns(m *waittable.Machine, now reservation.Moment) []reservation.Run {
	runs := slices.Clone(m.State.Runs)
	for i := range runs {
		run := &runs[i]
		for _, h := range p.reservations.Holds[m.ID] {
			if !run.Sure && run.For != h.For && h.Ends != 0 {
				run.Ends = min(run.Ends, h.Ends) // the end expected when the hold was chosen
			}
		}
		if run.Ends < now {
			run.Ends = reservation.After(now, expectedOverrun)
		}
	}
	return runs
}

// provisionForReservations plans machines for the reserved tasks that have no reliable
// resources held for them and that the machines already requested for the reservation don't
// cover. It does so from the occurrence's ClearBy on, the reservation's lead time before the
// start.
func (p *ReservationPlanner) provisionForReservations(plan *binpack.Plan) {
	now := p.WallTime()
	for _, d := range p.demands {
		unrequestedTasks := p.shortfall[d.Spec.Name] - p.requestedTasks(&d.Spec)
		if unrequestedTasks <= 0 || now < d.ClearBy {
			continue
		}
		j := jobFromSpec(&d.Spec)
		if zone := p.zones[d.Spec.Name]; zone != "" {
			j.Zone = zone
		}
		work := p.autoscaler.workFor(j, resource.LevelOf(d.Spec.Priority, false), d.Spec.LengthS)
		plan.ProvisionDedicated(work, unrequestedTasks, string(d.Spec.Name))
	}
}

// requestedTasks returns how many tasks of a reservation fit on the machines in those requests
// for it whose outcome is not known yet.
func (p *ReservationPlanner) requestedTasks(spec *record.ReservationSpec) (tasks int) {
	for _, call := range p.autoscaler.provisionCalls {
		if call.reservation == spec.Name {
			tasks += call.request.Count * resource.Capacity(p.Types[call.request.Type]).CountFitting(reservation.TaskSize(spec))
		}
	}
	return tasks
}
