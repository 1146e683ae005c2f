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
	// holdAhead is how long before an occurrence resources are held for it on machines
	// that are up: tasks that do not end until then start elsewhere.
	holdAhead = 2 * time.Hour
	// overrun is how much longer an attempt is expected to run that should have ended.
	overrun = time.Minute
)

// jobOf returns a job as a reservation describes it, on on-demand machines.
func jobOf(s *record.ReservationSpec) *clusterstate.LiveJob {
	return &clusterstate.LiveJob{Job: protocol.Job{
		Class: s.Class, Team: s.Team, Kind: protocol.KindJobArray, Priority: s.Priority, Tasks: uint32(s.Tasks),
		CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Types: s.Types, Zone: s.Zone, OneZone: s.OneZone, EstimateS: s.LengthS,
	}}
}

// reservationDemands lists the occurrences that resources are to be held for now, with
// their tasks that have not started.
func (p *ReservationPlanner) reservationDemands() []reservation.Demand {
	now := p.WallTime()
	var demands []reservation.Demand
	for _, e := range p.reservations.Calendar.DueReservations(now, reservation.After(now, holdAhead)) {
		if !e.Active() {
			continue
		}
		_, desired, started := p.reservations.OccurrenceProgress(e)
		if left := desired - started; left > 0 {
			clearFrom := reservation.After(e.StartMS, -p.ReservationLeadTime(&e.Reservation.Spec))
			demands = append(demands, reservation.Demand{Reservation: e.Reservation, Remaining: left, ClearBy: clearFrom})
		}
	}
	return demands
}

// reservableMachines lists the machines that resources can be held on: those that are up,
// and those that are booting.
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
		remaining := config.Seconds(p.reservations.Boots.Likely(info.BootS)) - p.Since(m.at)
		if remaining < 0 || p.table.Machines[id] != nil {
			continue // it is overdue and may never come up, or it is up
		}
		machines = append(machines, reservation.Machine{
			ID: id, Info: info, Zone: m.Zone, Spot: m.Spot, UpAt: reservation.After(now, remaining),
		})
	}
	return machines
}

// isReservable reports whether resources can be held on a registered machine. Its state
// has to be recent, unless there are holds on it already: while a controller is
// unreachable, its machines would otherwise lose their holds and be filled by other work.
func (p *ReservationPlanner) isReservable(m *waittable.Machine) bool {
	if !m.Open() || m.State.Epoch != m.Epoch {
		return false
	}
	return p.table.IsStateRecent(m, 3*p.Operator.ReplicationInterval) || len(p.reservations.Holds[m.ID]) > 0
}

// expectedRuns returns the attempts on a machine with the times when they are expected to
// end, all of them in the future.
func (p *ReservationPlanner) expectedRuns(m *waittable.Machine, now reservation.Moment) []reservation.Run {
	runs := slices.Clone(m.State.Runs)
	for i := range runs {
		run := &runs[i]
		for _, h := range p.reservations.Holds[m.ID] {
			if !run.Sure && run.For != h.For && h.Ends != 0 {
				run.Ends = min(run.Ends, h.Ends) // as was known when the hold was chosen
			}
		}
		if run.Ends < now {
			run.Ends = reservation.After(now, overrun)
		}
	}
	return runs
}

// provisionReserved plans machines, one boot time ahead, for the reserved tasks that no
// resources could be held for.
func (p *ReservationPlanner) provisionReserved(plan *binpack.Plan) {
	now := p.WallTime()
	for _, d := range p.demands {
		short := p.shortfall[d.Spec.Name] - p.requestedTasks(&d.Spec)
		if short <= 0 || now < d.ClearBy {
			continue
		}
		j := jobOf(&d.Spec)
		if zone := p.zones[d.Spec.Name]; zone != "" {
			j.Zone = zone
		}
		work := p.autoscaler.work(j, resource.LevelOf(d.Spec.Priority, false), d.Spec.LengthS)
		plan.Provision(work, short, string(d.Spec.Name))
	}
}

// requestedTasks is how many of a reservation's tasks fit the machines that are requested
// for it.
func (p *ReservationPlanner) requestedTasks(spec *record.ReservationSpec) (tasks int) {
	for _, call := range p.autoscaler.provisionCalls {
		if call.reservation == spec.Name {
			tasks += call.request.Count * resource.Capacity(p.Types[call.request.Type]).CountFitting(reservation.TaskSize(spec))
		}
	}
	return tasks
}
