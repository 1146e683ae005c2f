package membership

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// redirectWindow is how long a redirected heartbeat counts: workers wait 4 s for an
	// answer before they try the next controller.
	redirectWindow = 15 * time.Second
	// attemptInterval is the time within which further heartbeats of a worker count as
	// the same attempt.
	attemptInterval = time.Second
	// minRedirects is how many attempts of a worker must have been redirected before
	// the worker counts as redirected.
	minRedirects = 2
	// minWorkers is how many workers of a controller must be redirected before it counts
	// as unreachable, and minWorkersDivisor defines their minimum fraction: one in so
	// many of its machines. The fraction is low because the redirected workers are spread
	// over several controllers, so that each controller observes only some of them.
	minWorkers        = 2
	minWorkersDivisor = 5
	// firstRetryPause is how long an unreachable controller waits before it tries again
	// to serve machines. The pause is doubled each time, up to maxRetryPause.
	firstRetryPause = 30 * time.Second
	maxRetryPause   = 8 * time.Minute
)

// reachability detects members that workers can't reach although these members renew
// their leases. Their workers repeatedly send heartbeats to other controllers, and would
// lose their own leases if no other controller took them over.
type reachability struct {
	redirected    map[protocol.MachineID]redirectedWorker
	excluded      bool          // the view lists this controller as unreachable
	excludedSince clock.Time    // when the view first listed it
	retryPause    time.Duration // how long this controller stays listed before it tries again
}

// redirectedWorker is a worker that sends its heartbeats to this controller although
// another controller dispatches to it.
type redirectedWorker struct {
	lastAttemptAt clock.Time // when its last attempt began
	attempts      int
	zone          protocol.Zone
	// shardEpoch is the epoch since which its shard has had its holder. Workers are
	// redirected to another controller when the holder changes, which starts the count
	// of attempts anew.
	shardEpoch protocol.Term
}

func newReachability() reachability {
	return reachability{redirected: map[protocol.MachineID]redirectedWorker{}}
}

// adoptView resets the counts of redirected workers, since a new view redirects workers
// to other controllers, and updates whether this controller is excluded.
func (r *reachability) adoptView(view record.View, self protocol.NodeName, now clock.Time) {
	clear(r.redirected)
	excluded := slices.Contains(view.Deaf, self)
	if excluded && !r.excluded {
		r.excludedSince = now
		r.retryPause = min(max(2*r.retryPause, firstRetryPause), maxRetryPause)
	}
	r.excluded = excluded
}

// unreachable reports whether a view lists a member as unreachable for workers. If it
// lists all members, none counts as unreachable: one of them has to serve the machines.
func unreachable(view record.View, name protocol.NodeName) bool {
	return len(view.Deaf) < len(view.Members) && slices.Contains(view.Deaf, name)
}

// NoteRedirected counts a heartbeat that should have been sent to another controller.
func (ms *Members) NoteRedirected(machine protocol.MachineID, zone protocol.Zone) {
	worker := ms.reachability.redirected[machine]
	shardEpoch := ms.ShardEpoch(machine, zone)
	if ms.Since(worker.lastAttemptAt) > redirectWindow || worker.shardEpoch != shardEpoch {
		worker.attempts = 0
	}
	if worker.attempts > 0 && ms.Since(worker.lastAttemptAt) < attemptInterval {
		return
	}
	ms.reachability.redirected[machine] = redirectedWorker{
		lastAttemptAt: ms.Now,
		attempts:      worker.attempts + 1,
		zone:          zone,
		shardEpoch:    shardEpoch,
	}
}

// unreachableNodes lists the members that the next view should list as unreachable, in
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
		if workers >= minWorkers && minWorkersDivisor*workers >= machines[name] {
			ms.Log.Info("workers can't reach a controller: excluded it from the view's dispatchers",
				"controller", name, "redirected", workers, "machines", machines[name])
			nodes = append(nodes, name)
		}
	}
	slices.Sort(nodes)
	return nodes
}

// stillUnreachable lists the members that the current view lists as unreachable and that
// the next one should list too: those whose sessions have not ended, except for this
// controller once it is time to try again to serve machines.
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

// redirectedByDispatcher counts, for each dispatcher, its workers that were recently
// redirected several times.
func (ms *Members) redirectedByDispatcher() map[protocol.NodeName]int {
	count := map[protocol.NodeName]int{}
	for machine, worker := range ms.reachability.redirected {
		recent := ms.Since(worker.lastAttemptAt) <= redirectWindow
		if worker.attempts >= minRedirects && recent && worker.shardEpoch == ms.ShardEpoch(machine, worker.zone) {
			count[ms.DispatcherInZone(machine, worker.zone)]++
		}
	}
	return count
}

// machinesByDispatcher counts the registered machines of each dispatcher.
func (ms *Members) machinesByDispatcher() map[protocol.NodeName]int {
	count := map[protocol.NodeName]int{}
	for machine := range ms.Records {
		count[ms.DispatcherOf(machine)]++
	}
	return count
}
