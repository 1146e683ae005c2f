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
// published, and the announced placements that this state does not include yet.
type Machine struct {
	*clusterstate.Machine
	State            message.MachineState // state last published by the machine's dispatcher
	StateFrom        *Peer                // session of the dispatcher that published State in this term; nil: none
	StateReceivedAt  clock.Time           // when State was received
	PendingWaits     []PendingWait        // announced placements that State does not include
	PendingSum       float64              // sum of the waits in PendingWaits, in processor seconds
	PendingUses      resource.Uses        // resources that the placements in PendingWaits use
	Reserved         resource.Amount      // free resources of the machine that are held for reservations now
	copiedWait       float64              // wait in processor seconds copied from a peer's table, until a state is published
	AnnouncedUses    resource.Uses        // resources of the attempts that the dispatcher has queued or started on the machine
	PlacementRefused bool                 // the dispatcher or the worker refused a task, and no state was published since
	LateRuns         int                  // late tasks of jobs owned here that were recently counted against the machine; see package jobs
	LastLateRun      clock.Time           // when the last task in LateRuns was detected
}

// Wait is the machine's expected wait in processor seconds: that of its published state, or
// of a peer's copy, and of the placements that the state does not include yet.
func (m *Machine) Wait() float64 { return math.Max(0, m.State.Wait+m.copiedWait+m.PendingSum) }

// WaitBefore is the part of the machine's expected wait, in processor seconds, that precedes
// a task of the given level: attempts that are queued at lower levels run after the task.
func (m *Machine) WaitBefore(level resource.Level) float64 {
	wait := m.Wait()
	for lower, work := range m.State.Queue {
		if resource.Level(lower) < level {
			wait -= work
		}
	}
	return math.Max(0, wait)
}

// Free is the free resources of a machine by its published state, less those of pending
// placements. A machine with a queue has no free resources: the queued attempts come first.
func (m *Machine) Free() resource.Amount {
	if m.State.Epoch != m.Epoch {
		return resource.Capacity(m.Info).Minus(m.PendingUses.NonPreemptible(0)) // no state of this epoch yet: assume an empty machine
	}
	if m.State.Queued > 0 {
		return resource.Amount{}
	}
	return m.Idle()
}

// Idle is the resources of a machine that no attempt runs on, regardless of its queue: a job
// with a reservation on the machine does not wait behind the queue.
func (m *Machine) Idle() resource.Amount {
	if m.State.Epoch != m.Epoch {
		return m.Free()
	}
	idle := resource.Amount{CPUs: m.State.FreeCPUs, GPUs: m.State.FreeGPUs, GB: m.State.FreeGB}
	return idle.Minus(m.PendingUses.NonPreemptible(0))
}

// Unreserved is the free resources of a machine that are not held for reservations.
func (m *Machine) Unreserved() resource.Amount { return m.Free().Minus(m.Reserved) }

// NonPreemptibleFree is the resources that a machine would have free for a task of a level
// if all attempts that the task may preempt were preempted.
func (m *Machine) NonPreemptibleFree(level resource.Level) resource.Amount {
	free := resource.Capacity(m.Info).Minus(m.PendingUses.NonPreemptible(level))
	if m.State.Epoch == m.Epoch {
		free = free.Minus(m.AnnouncedUses.NonPreemptible(level))
	}
	return free
}

// FreeBelow is the resources of a machine that are not used by queued, started or pending
// attempts of a higher priority rank than the given one.
func (m *Machine) FreeBelow(rank int) resource.Amount {
	return resource.Capacity(m.Info).Minus(m.AnnouncedUses.AboveRank(rank)).Minus(m.PendingUses.AboveRank(rank))
}

// WaitFor returns the expected wait of a task per processor before it runs, in seconds and
// including the fetch of its image, and whether the machine has the free resources to start
// the task now. Of two machines that can start it now, the fuller one has a slightly shorter
// wait, so that small tasks leave whole machines free for large ones.
func (m *Machine) WaitFor(job *protocol.Job, level resource.Level) (wait float64, startsNow bool) {
	need := resource.Need(job)
	fetch := m.FetchSeconds(job)
	if free := m.Free(); free.Covers(need) {
		return fetch + (free.CPUs-need.CPUs)/math.Max(m.Info.CPUs, 1), true
	}
	return m.WaitBefore(level)/math.Max(m.Info.CPUs, 1) + fetch, false
}

// FetchSeconds is how many seconds the machine takes to fetch a job's image; 0 if it has the
// image.
func (m *Machine) FetchSeconds(job *protocol.Job) float64 {
	if slices.Contains(m.State.Images, job.Image) {
		return 0
	}
	return clusterstate.FetchS(m.Info, job)
}

// Open reports whether the machine's dispatcher accepts placements on it, by the state last
// published: it has not closed the machine, and neither drains nor quarantines it. It is false
// if the machine's type is unknown.
func (m *Machine) Open() bool {
	return m.Info.Name != "" && !m.State.Closed && !m.State.Draining && !m.State.Suspect
}

// Kind is the machine's type, zone and purchase option (spot or not).
func (m *Machine) Kind() binpack.Kind {
	return binpack.Kind{Type: m.Record.Type, Zone: m.Record.Zone, Spot: m.Record.Spot}
}

// recomputeWait recomputes PendingSum and PendingUses from all pending placements. If the
// dropped placements were subtracted instead, rounding errors would accumulate.
func (m *Machine) recomputeWait() {
	m.PendingSum, m.PendingUses = 0, resource.Uses{}
	for _, w := range m.PendingWaits {
		m.PendingSum += w.CPUSeconds
		m.PendingUses.Add(w.Level, w.Need)
	}
}

// DropPendingWaits drops the last n pending placements, which this controller has added but
// not announced to any peer.
func (m *Machine) DropPendingWaits(n int) {
	m.PendingWaits = m.PendingWaits[:max(0, len(m.PendingWaits)-n)]
	m.recomputeWait()
}
