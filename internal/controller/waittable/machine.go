package waittable

import (
	"math"
	"slices"

	"damsonkeel/internal/controller/binpack"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// Machine is a registered machine as the records have it, and what the
// wait table holds of it.
type Machine struct {
	*clusterstate.Machine
	Reported      message.MachineState // by its keeper
	ReportedBy    *Peer                // the keeper's session that told it in this term, if any
	ReportedAt    clock.Time           // when that was
	PendingWaits  []PendingWait        // placements that its keeper's word does not include yet
	PendingSum    float64              // their waits
	PendingUses   resource.Uses        // what they take
	Reserved      resource.Amount      // of what it has free: held for reservations now
	copiedWait    float64              // its wait by a peer's table, until its keeper is heard
	AnnouncedUses resource.Uses        // what it was told to hold
	Refused       bool                 // its keeper refused something and has not said since why
	LateRuns      int                  // tasks of this owner that ran too long there lately
	LastLateRun   clock.Time           // the last of them
}

// Wait is the machine's expected wait, in processor seconds, as far as this
// controller knows.
func (m *Machine) Wait() float64 { return math.Max(0, m.Reported.Wait+m.copiedWait+m.PendingSum) }

// WaitBefore is what of the machine's expected wait comes before a task of a
// level: what is queued there at lower levels lets it go first.
func (m *Machine) WaitBefore(l resource.Level) float64 {
	wait := m.Wait()
	for lower, work := range m.Reported.Queue {
		if resource.Level(lower) < l {
			wait -= work
		}
	}
	return math.Max(0, wait)
}

// Free is what a machine has free now, as far as this controller knows. One
// with a queue has none: what waits there comes first.
func (m *Machine) Free() resource.Amount {
	if m.Reported.Epoch != m.Epoch {
		return resource.Capacity(m.Info).Minus(m.PendingUses.NonPreemptible(0)) // nothing told yet: as it came up
	}
	if m.Reported.Queued > 0 {
		return resource.Amount{}
	}
	return m.Idle()
}

// Idle is what nothing runs in on a machine, whatever waits there: what room is
// held for does not wait behind the rest.
func (m *Machine) Idle() resource.Amount {
	if m.Reported.Epoch != m.Epoch {
		return m.Free()
	}
	return resource.Amount{CPUs: m.Reported.FreeCPUs, GPUs: m.Reported.FreeGPUs, GB: m.Reported.FreeGB}.Minus(m.PendingUses.NonPreemptible(0))
}

// Unreserved is what a machine has free now beside what is held for reservations.
func (m *Machine) Unreserved() resource.Amount { return m.Free().Minus(m.Reserved) }

// NonPreemptibleFree is what a machine has for a task of a level once everything that may
// be stopped for it is gone.
func (m *Machine) NonPreemptibleFree(l resource.Level) resource.Amount {
	room := resource.Capacity(m.Info).Minus(m.PendingUses.NonPreemptible(l))
	if m.Reported.Epoch == m.Epoch {
		room = room.Minus(m.AnnouncedUses.NonPreemptible(l))
	}
	return room
}

// FreeBelow is what a machine has for work of a rank or below, beside what is
// more urgent.
func (m *Machine) FreeBelow(rank int) resource.Amount {
	return resource.Capacity(m.Info).Minus(m.AnnouncedUses.Above(rank)).Minus(m.PendingUses.Above(rank))
}

// WaitFor is the wait per processor that a task has to expect before it runs,
// in seconds, its image's fetch included, and whether the machine has room for
// it now. With room, the fuller machine counts a little less, so that small
// tasks leave whole machines to large ones.
func (m *Machine) WaitFor(j *protocol.Job, l resource.Level) (wait float64, now bool) {
	n := resource.Need(j)
	fetch := m.FetchSeconds(j)
	if free := m.Free(); free.Covers(n) {
		return fetch + (free.CPUs-n.CPUs)/math.Max(m.Info.CPUs, 1), true
	}
	return m.WaitBefore(l)/math.Max(m.Info.CPUs, 1) + fetch, false
}

// FetchSeconds is how long the machine takes to get a job's image, in seconds.
func (m *Machine) FetchSeconds(j *protocol.Job) float64 {
	if slices.Contains(m.Reported.Images, j.Image) {
		return 0
	}
	return clusterstate.FetchS(m.Info, j)
}

// Open reports whether its keeper lets tasks be placed on a machine.
func (m *Machine) Open() bool {
	return m.Info.Name != "" && !m.Reported.Closed && !m.Reported.Draining && !m.Reported.Suspect
}

// Kind is the kind of a machine that is up.
func (m *Machine) Kind() binpack.Kind {
	return binpack.Kind{Type: m.Record.Type, Zone: m.Record.Zone, Spot: m.Record.Spot}
}

// recomputeWait sums what is announced anew: nothing is subtracted, so that nothing
// adds up.
func (m *Machine) recomputeWait() {
	m.PendingSum, m.PendingUses = 0, resource.Uses{}
	for _, w := range m.PendingWaits {
		m.PendingSum += w.Add
		m.PendingUses.Add(w.Level, w.Taken)
	}
}

// DropPendingWaits undoes the last n placements that this controller has just announced
// to nobody.
func (m *Machine) DropPendingWaits(n int) {
	m.PendingWaits = m.PendingWaits[:max(0, len(m.PendingWaits)-n)]
	m.recomputeWait()
}
