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
	// shortIdleTimeout is the maximum idle timeout while arrivals can be forecast. It is
	// longer than the gap between two tasks on a machine that is in use.
	shortIdleTimeout = 2 * PlanInterval
	// maxStateAge is the maximum age of a machine's state on which a decision to scale in
	// may be based.
	maxStateAge = 5 * time.Second
	// terminateRetryAfter is the time after which a termination without an answer is
	// requested again.
	terminateRetryAfter = 8 * time.Second
	// maxTerminations is the maximum number of machines in one request to the cloud.
	maxTerminations = 100
)

// scaleIn terminates the machines that are idle, failed, faulty or probably preempted, or
// that have not registered in time. A machine that may run tasks is drained first, or is
// terminated once its worker's lease has expired or the cloud has probably preempted it.
func (a *Autoscaler) scaleIn() {
	ids := append(a.scaleInRegistered(), a.scaleInUnregistered()...)
	a.terminate(ids)
}

// scaleInRegistered returns the registered machines to terminate: silent ones that were
// probably preempted, and empty ones that are draining or quarantined. It asks the dispatchers
// to drain idle machines, the most expensive first, as long as the headroom covers their
// processors, the resources reserved for classes with a start objective allow it and nothing
// requires the machine to be retained. Machines without a recent state are left alone.
func (a *Autoscaler) scaleInRegistered() (ids []protocol.MachineID) {
	claims, headroom := a.placer.NewClaims(), a.headroomProcessors()
	for _, m := range a.mostExpensiveFirst() {
		if a.terminatedAt[m.ID] != 0 {
			// The cloud has confirmed the termination, but the machine's record could
			// not be deleted. While the record exists, job owners count the tasks as
			// running until the lease of the machine's worker expires.
			a.deleteRecord(m)
			continue
		}
		if m.State.Epoch != m.Epoch || !a.table.IsStateRecent(m, maxStateAge) {
			continue
		}
		id := m.ID
		listed, isListed := a.listed[id]
		a.seenRunning[id] = a.seenRunning[id] || isListed && listed.State == listedRunning
		empty := isEmpty(m)
		switch {
		case a.seemsPreempted(m):
			// The cloud's answer to the termination confirms that the machine is gone,
			// long before the worker's lease expires.
			a.Log.Info("terminating a silent machine that was probably preempted", "machine", id)
			ids = append(ids, id)
		case empty && (m.State.Draining || m.State.Suspect):
			ids = append(ids, id)
		case a.planner.mustRetain(m):
		case empty && a.mayDrain(m, headroom) && claims.DeductMachine(m):
			headroom -= m.Info.CPUs
			a.Log.Info("draining an idle machine", "machine", id, "idle_s", int(a.idleSeconds(m)))
			a.Send(a.DispatcherOf(id), message.PeerMessage{Drain: &id})
		}
	}
	return ids
}

// isEmpty reports whether a machine certainly has no running or queued attempts and no
// placements that its dispatcher has not confirmed. A machine may have some if its dispatcher
// has received no heartbeat from it.
func isEmpty(m *waittable.Machine) bool {
	return m.State.Heard && m.State.Held == 0 && m.PendingSum == 0
}

// mostExpensiveFirst lists the registered machines by descending price per processor, those
// of the same price by ID.
func (a *Autoscaler) mostExpensiveFirst() []*waittable.Machine {
	machines := slices.Clone(a.table.InOrder())
	slices.SortStableFunc(machines, func(x, y *waittable.Machine) int {
		return cmp.Compare(a.pricePerCPU(y.Kind()), a.pricePerCPU(x.Kind()))
	})
	return machines
}

// seemsPreempted reports whether the cloud has probably preempted a machine whose worker is
// silent for so long that nothing is placed on its machine (message.SilenceLong): the cloud
// announced the preemption, or has listed the machine as running and no longer lists it.
func (a *Autoscaler) seemsPreempted(m *waittable.Machine) bool {
	if m.State.Silence != message.SilenceLong {
		return false
	}
	_, isListed := a.listed[m.ID]
	return m.State.Noticed || a.seenRunning[m.ID] && !isListed
}

// mayDrain reports whether an empty machine has been idle for longer than its idle timeout and
// the headroom, in processors, covers its processors.
func (a *Autoscaler) mayDrain(m *waittable.Machine, headroom float64) bool {
	return a.idleSeconds(m) > a.idleTimeout(m.Info, headroom) && headroom >= m.Info.CPUs
}

// idleSeconds returns for how many seconds a machine has had no attempts: the time in its last
// published state plus the time since that state was received.
func (a *Autoscaler) idleSeconds(m *waittable.Machine) float64 {
	return m.State.IdleS + a.Since(m.StateReceivedAt).Seconds()
}

// idleTimeout returns how long a machine of a type may be idle before it is drained, in
// seconds: as long as a replacement takes to boot, or the operator's idle timeout if that is
// shorter. It is at most shortIdleTimeout if the work that is likely to arrive while a
// machine boots can be forecast, since a machine is drained only if there is headroom for
// this work without the machine. A controller that has just started can't forecast the work
// of any class.
func (a *Autoscaler) idleTimeout(t protocol.TypeInfo, headroom float64) float64 {
	timeout := math.Min(t.BootS, a.Operator.IdleTimeout.Seconds())
	if !math.IsInf(headroom, 1) && a.Since(a.SessionStart).Seconds() > forecast.MinObservedBoots*t.BootS {
		timeout = math.Min(timeout, shortIdleTimeout.Seconds())
	}
	return timeout
}

// headroomProcessors returns the number of processors, on machines on which tasks may be
// placed, beyond those that are needed by unstarted tasks, by the work that is likely to
// arrive, in classes without a start objective, while a machine boots, and by running or
// queued work of a higher priority than these classes. The headroom is infinite if there are
// no unstarted tasks and no such work is expected.
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

// unstartedProcessors returns the number of processors needed by the unstarted tasks of a
// priority rank or below. Tasks of higher ranks count as used resources of the machines in
// whose queues they are.
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

// scaleInUnregistered returns the listed machines to terminate because they failed or did not
// register in time.
func (a *Autoscaler) scaleInUnregistered() (ids []protocol.MachineID) {
	for id, listed := range ordered.ByKey(a.listed) {
		registered := a.table.Machines[id] != nil
		if registered || a.terminatedAt[id] != 0 {
			delete(a.unregisteredSince, id)
			if listed.State == listedFailed && a.terminatedAt[id] == 0 {
				ids = append(ids, id) // registered, but failed according to the cloud: nothing runs on it
			}
			continue
		}
		if a.unregisteredSince[id] == 0 || listed.State == listedBooting {
			a.unregisteredSince[id] = a.Now // its worker can't register while the machine boots
		}
		if a.isFailedOrOverdue(listed) {
			a.Log.Info("terminating an unregistered machine", "machine", id, "state", listed.State)
			ids = append(ids, id)
		}
	}
	for id := range a.unregisteredSince {
		if _, ok := a.listed[id]; !ok {
			delete(a.unregisteredSince, id)
		}
	}
	return ids
}

// isFailedOrOverdue reports whether the cloud lists an unregistered machine as failed, or
// whether it should have registered by now. A booting machine has until its boot deadline. A
// running machine has, beyond the time in which its worker's lease certainly expires, as long
// as a replacement would take to boot: if the whole zone is partitioned, a replacement could
// not register either.
func (a *Autoscaler) isFailedOrOverdue(listed protocol.ListedMachine) bool {
	age := time.Duration(listed.AgeS * float64(time.Second))
	return listed.State == listedFailed ||
		listed.State == listedBooting && age > a.bootDeadline(listed.Type) ||
		a.Since(a.unregisteredSince[listed.ID]) > a.WorkerLeaseBound()+config.Seconds(a.Types[listed.Type].BootS)
}

// terminate requests the termination of at most maxTerminations machines in one request,
// except those whose termination was requested less than terminateRetryAfter ago and has no
// answer yet.
func (a *Autoscaler) terminate(ids []protocol.MachineID) {
	ids = slices.DeleteFunc(ids, func(id protocol.MachineID) bool {
		return a.terminationRequestedAt[id] != 0 && a.Since(a.terminationRequestedAt[id]) < terminateRetryAfter
	})
	ids = ids[:min(len(ids), maxTerminations)]
	if len(ids) == 0 {
		return
	}
	for _, id := range ids {
		a.terminationRequestedAt[id] = a.Now
	}
	a.Emit(message.Terminate{Machines: ids})
}

// HandleTerminateDone records which machines the cloud has terminated and requests the deletion
// of their records, from which every job owner concludes that the tasks there have ended. If
// the request failed, the machines may be requested again at once.
func (a *Autoscaler) HandleTerminateDone(m message.TerminateDone) {
	for _, id := range m.Machines {
		delete(a.terminationRequestedAt, id)
		if !m.OK {
			continue
		}
		a.terminatedAt[id] = a.Now
		delete(a.booting, id)
		a.Log.Info("machine terminated", "machine", id)
		if registered := a.table.Machines[id]; registered != nil {
			a.deleteRecord(registered)
		}
	}
}

// deleteRecord requests the deletion of a terminated machine's record in the key-value store,
// which takes effect only if the record still has the version in the wait table.
func (a *Autoscaler) deleteRecord(m *waittable.Machine) {
	a.ChangeRecord(dispatcher.RemoveTag{Machine: m.ID}, message.RecordChange{Machine: m.ID, Have: m.Epoch})
}
