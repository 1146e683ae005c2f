package reservation

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// startDelay is how much later than estimated a task may end that was allowed to start, and
// still count as ended by ClearBy: it begins to run only after its image has been fetched and
// its start has been reported.
const startDelay = 15 * time.Second

// Machine describes a running or booting machine on which resources may be held.
type Machine struct {
	ID   protocol.MachineID
	Info protocol.TypeInfo
	Zone protocol.Zone
	Spot bool
	// UpAt is when the machine is expected to have booted and registered; 0 if it has.
	UpAt Moment
	Runs []Run
}

// Demand is an occurrence of a reservation for which resources are to be held.
type Demand struct {
	*record.Reservation
	Remaining int // number of its tasks that have not started yet
	// ClearBy is when the resources have to be free of work that can't be stopped for the
	// reservation. It precedes the start by the time that it takes to provision another
	// machine.
	ClearBy Moment
}

// level returns the level of the reserved work. It follows from the priority alone, without
// a team's guarantee.
func (d *Demand) level() resource.Level { return resource.LevelOf(d.Spec.Priority, false) }

// size returns the resources of one task.
func (d *Demand) size() resource.Amount { return TaskSize(&d.Spec) }

// holdEnd returns when the job of the occurrence should have ended at the latest.
func (d *Demand) holdEnd() Moment { return afterSeconds(d.StartMS, d.Spec.HoldS+d.Spec.LengthS) }

// machineCapacity is a machine with the holds chosen for it so far.
type machineCapacity struct {
	*Machine
	holds []Hold
}

// freeAtClear returns the free resources of a machine that an occurrence can rely on. Up to
// ClearBy, tasks that are likely to end by then count as ended. After ClearBy, all tasks
// that are still there count as running. With preempting, tasks of a lower level, which can
// be stopped for the occurrence, count as ended at any time.
func (m *machineCapacity) freeAtClear(d *Demand, now Moment, preempting bool) resource.Amount {
	at := Moment(0)
	if now <= d.ClearBy {
		at = After(d.ClearBy, startDelay)
	}
	return m.freeAt(d, at, preempting)
}

// freeAt returns the resources of a machine that are left for an occurrence if every task
// has ended that is likely to end by a moment. Tasks of the occurrence itself always count
// as running. With preempting, other tasks of a lower level count as ended. Holds for other
// reservations that overlap the occurrence in time are subtracted.
func (m *machineCapacity) freeAt(d *Demand, at Moment, preempting bool) resource.Amount {
	free := resource.Capacity(m.Info)
	for _, r := range m.Runs {
		ownTask := r.For == d.Spec.Name // a task of this occurrence, which uses its resources
		ended := r.Ends <= at || preempting && r.Level < d.level()
		if ownTask || !ended {
			free = free.Minus(r.Need)
		}
	}
	for _, h := range m.holds {
		if h.For != d.Spec.Name && h.From < d.holdEnd() && d.StartMS < h.Until {
			free = free.Minus(h.Need)
		}
	}
	return free
}

// earliestCapacity returns the earliest moment, now or later, from which tasks of an
// occurrence are likely to fit on a machine if tasks of lower levels are preempted, and how
// many fit by the start of the occurrence or by that moment, whichever is later; 0 tasks if
// none ever will.
func (m *machineCapacity) earliestCapacity(d *Demand, now Moment) (at Moment, tasks int) {
	ends := []Moment{max(now, m.UpAt)}
	for _, r := range m.Runs {
		ends = append(ends, max(r.Ends, now, m.UpAt))
	}
	slices.Sort(ends)
	for _, at := range ends {
		// All resources that become free before the start count, not only the first ones.
		if tasks := m.freeAt(d, max(at, d.StartMS), true).CountFitting(d.size()); tasks > 0 {
			return at, tasks
		}
	}
	return 0, 0
}

// hasHoldFor reports whether the machine has a hold for a reservation.
func (m *machineCapacity) hasHoldFor(n Name) bool {
	return slices.ContainsFunc(m.holds, func(h Hold) bool { return h.For == n })
}

// runsWorkOf reports whether the machine runs tasks of a reservation.
func (m *machineCapacity) runsWorkOf(n Name) bool {
	return slices.ContainsFunc(m.Runs, func(r Run) bool { return r.For == n })
}
