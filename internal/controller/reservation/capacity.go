package reservation

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// startDelay is by how much later than its estimate says work may end that was let
// start: it begins when its image has arrived and its start was reported.
const startDelay = 15 * time.Second

// Machine is a machine on which resources may be held.
type Machine struct {
	ID   protocol.MachineID
	Info protocol.TypeInfo
	Zone protocol.Zone
	Spot bool
	// UpAt is when it is up; 0: it is.
	UpAt Moment
	Runs []Run
}

// Demand is an occurrence of a reservation that resources are held for.
type Demand struct {
	*record.Reservation
	Remaining int // of its tasks, not started yet
	// ClearBy is from when on the resources have to be free of what can't be stopped for
	// it: as long before its time as another machine takes to come.
	ClearBy Moment
}

// level is that of the reserved work: no more than its priority gives it.
func (d *Demand) level() resource.Level { return resource.LevelOf(d.Spec.Priority, false) }

func (d *Demand) size() resource.Amount { return Size(&d.Spec) }

// until is when its job should be over at the latest.
func (d *Demand) until() Moment { return afterSeconds(d.StartMS, d.Spec.HoldS+d.Spec.LengthS) }

// machineCapacity is a machine while holds are chosen.
type machineCapacity struct {
	*Machine
	holds []Hold // chosen so far
}

// free is what a machine has left for an occurrence that can be relied on: what
// is there is likely to be over when it has to be clear, and from then on is
// over. With preempting, what can be stopped for it counts as over, too.
func (m *machineCapacity) free(d *Demand, now Moment, preempting bool) resource.Amount {
	by := Moment(0)
	if now <= d.ClearBy {
		by = After(d.ClearBy, startDelay)
	}
	return m.freeBy(d, by, preempting)
}

// freeBy is what is left if everything is over that is likely to be by a moment.
func (m *machineCapacity) freeBy(d *Demand, by Moment, preempting bool) resource.Amount {
	free := resource.Capacity(m.Info)
	for _, r := range m.Runs {
		started := r.For == d.Spec.Name // of this occurrence: its resources are used
		over := r.Ends <= by || preempting && r.Level < d.level()
		if started || !over {
			free = free.Minus(r.Need)
		}
	}
	for _, h := range m.holds {
		if h.For != d.Spec.Name && h.From < d.until() && d.StartMS < h.Until {
			free = free.Minus(h.Need)
		}
	}
	return free
}

// earliestCapacity is how many tasks of an occurrence are likely to fit on a machine at
// the earliest, and from when on; 0: none ever will.
func (m *machineCapacity) earliestCapacity(d *Demand, now Moment) (by Moment, tasks int) {
	ends := []Moment{max(now, m.UpAt)}
	for _, r := range m.Runs {
		ends = append(ends, max(r.Ends, now, m.UpAt))
	}
	slices.Sort(ends)
	for _, by := range ends {
		// What comes free until its time counts, whatever was first.
		if tasks := m.freeBy(d, max(by, d.StartMS), true).CountFitting(d.size()); tasks > 0 {
			return by, tasks
		}
	}
	return 0, 0
}

// holdsFor reports whether resources of the machine are held for a reservation.
func (m *machineCapacity) holdsFor(n Name) bool {
	return slices.ContainsFunc(m.holds, func(h Hold) bool { return h.For == n })
}

// runs reports whether the machine runs work of a reservation.
func (m *machineCapacity) runs(n Name) bool {
	return slices.ContainsFunc(m.Runs, func(r Run) bool { return r.For == n })
}
