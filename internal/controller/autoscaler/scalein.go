package autoscaler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/dispatcher"
	"damsonkeel/internal/controller/forecast"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

const (
	// knownIdleTimeout is how long a machine is idle before that is more than the moment
	// between two tasks.
	knownIdleTimeout = 2 * PlanEvery
	// maxStateAge is how old a machine's state may be for a decision to scale in.
	maxStateAge = 5 * time.Second
	// terminateRetryAfter is the time after which a termination without an answer is
	// requested again.
	terminateRetryAfter = 8 * time.Second
	// maxTerminations bounds the machines of one request to the cloud.
	maxTerminations = 100
)

// scaleIn terminates the machines that are idle, failed or faulty or never came up. A
// machine that may run tasks is drained first, or its worker's lease has expired.
func (a *Autoscaler) scaleIn() {
	ids := append(a.scaleInRegistered(), a.scaleInUnregistered()...)
	a.terminate(ids)
}

// scaleInRegistered returns the registered machines to terminate and drains the idle ones
// that can be spared, the most expensive first.
func (a *Autoscaler) scaleInRegistered() (ids []protocol.MachineID) {
	claims, headroom := a.placer.NewClaims(), a.headroomProcessors()
	for _, m := range a.mostExpensiveFirst() {
		if a.terminated[m.ID] != 0 {
			// The cloud has confirmed it, but its record could not be deleted then:
			// owners would wait until the lease of its worker expires.
			a.dropRecord(m)
			continue
		}
		if m.State.Epoch != m.Epoch || !a.table.IsStateRecent(m, maxStateAge) {
			continue
		}
		id := m.ID
		listed, isListed := a.listed[id]
		a.seenUp[id] = a.seenUp[id] || isListed && listed.State == listedRunning
		empty := isEmpty(m)
		switch {
		case a.seemsPreempted(m):
			// The cloud's answer to the termination proves it, long before the
			// worker's lease expires.
			a.Log.Info("deleting a silent machine that seems taken", "machine", id)
			ids = append(ids, id)
		case empty && (m.State.Draining || m.State.Suspect):
			ids = append(ids, id)
		case a.planner.retainForReservation(m):
		case empty && a.mayDrain(m, headroom) && claims.DeductMachine(m):
			headroom -= m.Info.CPUs
			a.Log.Info("returning an idle machine", "machine", id, "idle_s", int(a.idleSeconds(m)))
			a.Send(a.DispatcherOf(id), message.PeerMessage{Drain: &id})
		}
	}
	return ids
}

// isEmpty reports whether a machine is known to have no attempts, running, queued or
// announced. One that its dispatcher has received no heartbeat from may have some.
func isEmpty(m *waittable.Machine) bool {
	return m.State.Heard && m.State.Held == 0 && m.PendingSum == 0
}

// mostExpensiveFirst lists the registered machines by price per processor, those of the
// same price by ID.
func (a *Autoscaler) mostExpensiveFirst() []*waittable.Machine {
	machines := slices.Clone(a.table.InOrder())
	slices.SortStableFunc(machines, func(x, y *waittable.Machine) int {
		return cmp.Compare(a.price(y.Kind()), a.price(x.Kind()))
	})
	return machines
}

// seemsPreempted reports whether a machine whose worker is silent was probably preempted
// by the cloud: the cloud announced it, or no longer lists the machine.
func (a *Autoscaler) seemsPreempted(m *waittable.Machine) bool {
	if m.State.Silence != message.SilenceLong {
		return false
	}
	_, isListed := a.listed[m.ID]
	return m.State.Noticed || a.seenUp[m.ID] && !isListed
}

// mayDrain reports whether an empty machine has been idle for long enough, and its
// processors can be spared.
func (a *Autoscaler) mayDrain(m *waittable.Machine, headroom float64) bool {
	return a.idleSeconds(m) > a.idleTimeout(m.Info, headroom) && headroom >= m.Info.CPUs
}

// idleSeconds is how long a machine has been idle, in seconds.
func (a *Autoscaler) idleSeconds(m *waittable.Machine) float64 {
	return m.State.IdleS + a.Since(m.StateReceivedAt).Seconds()
}

// idleTimeout is how long a machine of a type may be idle before it is drained, in
// seconds: as long as another one takes to boot. It is shorter where the work that is
// likely to arrive meanwhile is known, and there is headroom for it without the machine. A
// controller that has just started knows that of no class.
func (a *Autoscaler) idleTimeout(t protocol.TypeInfo, headroom float64) float64 {
	timeout := math.Min(t.BootS, a.Operator.IdleTimeout.Seconds())
	if !math.IsInf(headroom, 1) && a.Since(a.SessionStart).Seconds() > forecast.KnownBoots*t.BootS {
		timeout = math.Min(timeout, knownIdleTimeout.Seconds())
	}
	return timeout
}

// headroomProcessors is the number of processors beyond those of more urgent work, the
// unstarted tasks, and the work that the classes without a start objective are likely to
// bring while a machine boots; infinite if there is no such work.
func (a *Autoscaler) headroomProcessors() float64 {
	topRank, headroom, expected := 0, 0.0, false
	for _, class := range ordered.ByKey(a.workload.Classes) {
		if work := a.workload.ExpectedWork(class); work > 0 {
			headroom -= work / a.workload.BootSeconds(&class.Job)
			topRank, expected = max(topRank, class.Job.Priority.Rank()), true
		}
	}
	unstarted := a.unstartedProcessors(topRank)
	if !expected && unstarted == 0 {
		return math.Inf(1)
	}
	headroom -= unstarted
	for _, m := range a.table.InOrder() {
		if a.table.Usable(m) {
			headroom += m.FreeBelow(topRank).CPUs
		}
	}
	return headroom
}

// unstartedProcessors is the processors needed by the unstarted tasks of a priority rank
// or below. Those of higher ranks count as uses of the machines in whose queues they are.
func (a *Autoscaler) unstartedProcessors(rank int) (sum float64) {
	for _, p := range ordered.ByKey(a.table.Peers) {
		for _, d := range p.Demand {
			if j := a.Live[d.Job]; j != nil && j.Priority.Rank() <= rank {
				sum += float64(d.Unstarted) * j.CPUs
			}
		}
	}
	return sum
}

// scaleInUnregistered returns the listed machines to terminate because they failed, or
// because they do not register in time.
func (a *Autoscaler) scaleInUnregistered() (ids []protocol.MachineID) {
	for id, l := range ordered.ByKey(a.listed) {
		registered := a.table.Machines[id] != nil
		if registered || a.terminated[id] != 0 {
			delete(a.orphans, id)
			if l.State == listedFailed && a.terminated[id] == 0 {
				ids = append(ids, id) // it stopped by itself: nothing runs on it
			}
			continue
		}
		if a.orphans[id] == 0 || l.State == listedBooting {
			a.orphans[id] = a.Now // its worker can't register before the machine is up
		}
		if a.isLost(l) {
			a.Log.Info("returning a machine that does not report", "machine", id, "state", l.State)
			ids = append(ids, id)
		}
	}
	for id := range a.orphans {
		if _, ok := a.listed[id]; !ok {
			delete(a.orphans, id)
		}
	}
	return ids
}

// isLost reports whether an unregistered machine has failed or is overdue. One that is up
// gets as much time as another takes to boot: where a whole zone is partitioned, another
// could not register either.
func (a *Autoscaler) isLost(l protocol.ListedMachine) bool {
	age := time.Duration(l.AgeS * float64(time.Second))
	return l.State == listedFailed ||
		l.State == listedBooting && age > a.bootDeadline(l.Type) ||
		a.Since(a.orphans[l.ID]) > a.WorkerLeaseBound()+config.Seconds(a.Types[l.Type].BootS)
}

// terminate requests the termination of machines, but of those for which a recent
// request has no answer yet.
func (a *Autoscaler) terminate(ids []protocol.MachineID) {
	ids = slices.DeleteFunc(ids, func(id protocol.MachineID) bool {
		return a.deleting[id] != 0 && a.Since(a.deleting[id]) < terminateRetryAfter
	})
	ids = ids[:min(len(ids), maxTerminations)]
	if len(ids) == 0 {
		return
	}
	for _, id := range ids {
		a.deleting[id] = a.Now
	}
	a.Emit(message.Terminate{Machines: ids})
}

// Terminated handles the cloud's answer to a termination. The records of the machines
// that it has terminated are deleted, which tells every owner that their tasks ended.
func (a *Autoscaler) Terminated(m message.TerminateDone) {
	for _, id := range m.Machines {
		delete(a.deleting, id)
		if !m.OK {
			continue
		}
		a.terminated[id] = a.Now
		delete(a.booting, id)
		a.Log.Info("machine returned", "machine", id)
		if registered := a.table.Machines[id]; registered != nil {
			a.dropRecord(registered)
		}
	}
}

// dropRecord deletes the record of a machine that the cloud has terminated.
func (a *Autoscaler) dropRecord(m *waittable.Machine) {
	a.ChangeRecord(dispatcher.RemoveTag{Machine: m.ID}, message.RecordChange{Machine: m.ID, Have: m.Epoch})
}
