package membership

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// redirectWindow is how long a misdirected heartbeat counts: workers wait 4 s for
	// an answer and go from one controller to the next.
	redirectWindow = 15 * time.Second
	// sameAttempt is within what time further heartbeats belong to the same attempt.
	sameAttempt = time.Second
	// minRedirects is how many attempts of a worker must have gone to other
	// controllers before it counts.
	minRedirects = 2
	// minWorkers and workersFraction (one in so many) are how many workers of a
	// controller must be redirected until it counts as unreachable. Several controllers
	// share the redirected workers, so that each sees a part of them only.
	minWorkers      = 2
	workersFraction = 5
	// firstRetryPause is how long an unreachable controller waits before it tries again
	// to serve machines, doubled each time up to maxRetryPause.
	firstRetryPause = 30 * time.Second
	maxRetryPause   = 8 * time.Minute
)

// reachability detects members that workers can't reach although they renew their
// leases. Their workers send heartbeats to other controllers again and again, and would
// lose their own leases if no other controller took them over.
type reachability struct {
	redirected    map[protocol.MachineID]redirectedWorker
	excluded      bool          // the view has this controller as unreachable
	excludedSince clock.Time    // since when
	retryPause    time.Duration // how long it stays so
}

// redirectedWorker is a worker that sends its heartbeats to this controller although
// another one dispatches to it.
type redirectedWorker struct {
	last     clock.Time
	attempts int
	zone     protocol.Zone
	// shardEpoch is that of its shard's holder: workers are redirected to another
	// controller when it changes.
	shardEpoch protocol.Term
}

func newReachability() reachability {
	return reachability{redirected: map[protocol.MachineID]redirectedWorker{}}
}

// adopt starts counting anew: a new view redirects workers to other controllers.
func (r *reachability) adopt(view record.View, self protocol.NodeName, now clock.Time) {
	clear(r.redirected)
	excluded := slices.Contains(view.Deaf, self)
	if excluded && !r.excluded {
		r.excludedSince = now
		r.retryPause = min(max(2*r.retryPause, firstRetryPause), maxRetryPause)
	}
	r.excluded = excluded
}

// unreachable reports whether a view has a member as unreachable for workers. Where all
// members are, none counts as such: one of them has to serve the machines.
func unreachable(view record.View, name protocol.NodeName) bool {
	return len(view.Deaf) < len(view.Members) && slices.Contains(view.Deaf, name)
}

// NoteRedirected counts a heartbeat that should have gone to another controller.
func (ms *Members) NoteRedirected(machine protocol.MachineID, zone protocol.Zone) {
	worker := ms.reachability.redirected[machine]
	shardEpoch := ms.ShardEpoch(machine, zone)
	if ms.Since(worker.last) > redirectWindow || worker.shardEpoch != shardEpoch {
		worker.attempts = 0
	}
	if worker.attempts > 0 && ms.Since(worker.last) < sameAttempt {
		return
	}
	ms.reachability.redirected[machine] = redirectedWorker{
		last:       ms.Now,
		attempts:   worker.attempts + 1,
		zone:       zone,
		shardEpoch: shardEpoch,
	}
}

// unreachableNodes lists the members that the next view should have as unreachable, in
// order of their names.
func (ms *Members) unreachableNodes(members map[protocol.NodeName]protocol.LeaseID) []protocol.NodeName {
	nodes := ms.stillUnreachable(members)
	redirected := ms.redirectedByDispatcher()
	if len(redirected) == 0 {
		slices.Sort(nodes)
		return nodes
	}
	machines := ms.machinesByDispatcher()
	for name, workers := range redirected {
		if name == ms.Self || members[name] == 0 || slices.Contains(nodes, name) {
			continue
		}
		if workers >= minWorkers && workersFraction*workers >= machines[name] {
			ms.Log.Info("workers can't reach a controller: excluded it from the view's dispatchers",
				"controller", name, "redirected", workers, "machines", machines[name])
			nodes = append(nodes, name)
		}
	}
	slices.Sort(nodes)
	return nodes
}

// stillUnreachable lists the members that the present view has as unreachable and the
// next one should too: their sessions go on, and it is not time for this controller to
// try again itself.
func (ms *Members) stillUnreachable(members map[protocol.NodeName]protocol.LeaseID) []protocol.NodeName {
	retry := ms.Since(ms.reachability.excludedSince) > ms.reachability.retryPause
	var nodes []protocol.NodeName
	for _, name := range ms.View.Deaf {
		sameSession := members[name] != 0 && members[name] == ms.View.Members[name]
		if !sameSession || name == ms.Self && retry {
			continue
		}
		nodes = append(nodes, name)
	}
	return nodes
}

// redirectedByDispatcher counts, by their dispatchers, the workers that were redirected
// several times lately.
func (ms *Members) redirectedByDispatcher() map[protocol.NodeName]int {
	count := map[protocol.NodeName]int{}
	for machine, worker := range ms.reachability.redirected {
		recent := ms.Since(worker.last) <= redirectWindow
		if worker.attempts >= minRedirects && recent && worker.shardEpoch == ms.ShardEpoch(machine, worker.zone) {
			count[ms.DispatcherInZone(machine, worker.zone)]++
		}
	}
	return count
}

// machinesByDispatcher counts the registered machines by their dispatchers.
func (ms *Members) machinesByDispatcher() map[protocol.NodeName]int {
	count := map[protocol.NodeName]int{}
	for machine := range ms.Records {
		count[ms.DispatcherOf(machine)]++
	}
	return count
}
