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

// Machine is a registered machine: its record, the state that its dispatcher last
// published, and the announced placements which that state does not include yet.
type Machine struct {
	*clusterstate.Machine
	State           message.MachineState // last published by its dispatcher
	StateFrom       *Peer                // the dispatcher's session that published it in this term, if any
	StateReceivedAt clock.Time           // when that was
	PendingWaits    []PendingWait        // announced placements that Reported does not include
	PendingSum      float64              // sum of their waits, in processor seconds
	PendingUses     resource.Uses        // resources that they use
	Reserved        resource.Amount      // part of its free resources that is held for reservations now
	copiedWait      float64              // its wait by a peer's table, until its dispatcher publishes a state
	AnnouncedUses   resource.Uses        // resources of the attempts that its dispatcher has queued or started there
	Refused         bool                 // its dispatcher refused a placement and has published no state since
	LateRuns        int                  // tasks of this owner that recently ran too long there
	LastLateRun     clock.Time           // when the last of them was noticed
}

// Wait is the machine's expected wait, in processor seconds, as far as this
// controller knows.
func (m *Machine) Wait() float64 { return math.Max(0, m.State.Wait+m.copiedWait+m.PendingSum) }

// WaitBefore is the part of the machine's expected wait, in processor seconds, that
// precedes a task of the given level: attempts queued at lower levels run after it.
func (m *Machine) WaitBefore(level resource.Level) float64 {
	wait := m.Wait()
	for lower, work := range m.State.Queue {
		if resource.Level(lower) < level {
			wait -= work
		}
	}
	return math.Max(0, wait)
}

// Free is the resources that a machine has free now, as far as this controller
// knows. A machine with a queue has none: the queued attempts come first.
func (m *Machine) Free() resource.Amount {
	if m.State.Epoch != m.Epoch {
		return resource.Capacity(m.Info).Minus(m.PendingUses.NonPreemptible(0)) // no state of this epoch yet: as it came up
	}
	if m.State.Queued > 0 {
		return resource.Amount{}
	}
	return m.Idle()
}

// Idle is the resources of a machine that nothing runs on, whatever is queued there:
// a job with a reservation on the machine does not wait behind the queue.
func (m *Machine) Idle() resource.Amount {
	if m.State.Epoch != m.Epoch {
		return m.Free()
	}
	idle := resource.Amount{CPUs: m.State.FreeCPUs, GPUs: m.State.FreeGPUs, GB: m.State.FreeGB}
	return idle.Minus(m.PendingUses.NonPreemptible(0))
}

// Unreserved is the resources that a machine has free now and that no reservation holds.
func (m *Machine) Unreserved() resource.Amount { return m.Free().Minus(m.Reserved) }

// NonPreemptibleFree is the resources that a machine would have for a task of a level
// if all attempts were preempted that the task may preempt.
func (m *Machine) NonPreemptibleFree(level resource.Level) resource.Amount {
	free := resource.Capacity(m.Info).Minus(m.PendingUses.NonPreemptible(level))
	if m.State.Epoch == m.Epoch {
		free = free.Minus(m.AnnouncedUses.NonPreemptible(level))
	}
	return free
}

// FreeBelow is the resources of a machine that work of a higher priority rank than the
// given one does not use.
func (m *Machine) FreeBelow(rank int) resource.Amount {
	return resource.Capacity(m.Info).Minus(m.AnnouncedUses.Above(rank)).Minus(m.PendingUses.Above(rank))
}

// WaitFor is the wait per processor that a task has to expect before it runs, in
// seconds, the fetch of its image included, and whether the machine has the free
// resources to start it now. Of two machines that can start it now the fuller one has
// the slightly shorter wait, so that small tasks leave whole machines to large ones.
func (m *Machine) WaitFor(j *protocol.Job, level resource.Level) (wait float64, now bool) {
	need := resource.Need(j)
	fetch := m.FetchSeconds(j)
	if free := m.Free(); free.Covers(need) {
		return fetch + (free.CPUs-need.CPUs)/math.Max(m.Info.CPUs, 1), true
	}
	return m.WaitBefore(level)/math.Max(m.Info.CPUs, 1) + fetch, false
}

// FetchSeconds is how long the machine takes to fetch a job's image, in seconds; 0 if
// it has the image.
func (m *Machine) FetchSeconds(j *protocol.Job) float64 {
	if slices.Contains(m.State.Images, j.Image) {
		return 0
	}
	return clusterstate.FetchS(m.Info, j)
}

// Open reports whether the machine's dispatcher accepts placements on it.
func (m *Machine) Open() bool {
	return m.Info.Name != "" && !m.State.Closed && !m.State.Draining && !m.State.Suspect
}

// Kind is the machine's type, zone and purchase option.
func (m *Machine) Kind() binpack.Kind {
	return binpack.Kind{Type: m.Record.Type, Zone: m.Record.Zone, Spot: m.Record.Spot}
}

// recomputeWait sums the pending placements from scratch. Subtracting the dropped ones
// instead would let rounding errors accumulate.
func (m *Machine) recomputeWait() {
	m.PendingSum, m.PendingUses = 0, resource.Uses{}
	for _, w := range m.PendingWaits {
		m.PendingSum += w.Add
		m.PendingUses.Add(w.Level, w.Taken)
	}
}

// DropPendingWaits undoes the last n placements, which this controller has added but
// not announced to any peer.
func (m *Machine) DropPendingWaits(n int) {
	m.PendingWaits = m.PendingWaits[:max(0, len(m.PendingWaits)-n)]
	m.recomputeWait()
}
