package membership

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// redirectWindow is how long an attempt of a worker that was redirected counts: workers
	// wait 4 s for an answer before they try the next controller.
	redirectWindow = 15 * time.Second
	// attemptInterval is the time within which further heartbeats of a worker count as
	// the same attempt.
	attemptInterval = time.Second
	// minRedirects is how many attempts of a worker this controller must have redirected
	// before it counts the worker as redirected.
	minRedirects = 2
	// minWorkers is how many workers of another controller must be redirected before that
	// controller counts as unreachable, and minWorkersDivisor defines their minimum fraction:
	// one in so many of its machines. The fraction is low because the redirected workers are
	// spread over several controllers, so that each controller observes only some of them.
	minWorkers        = 2
	minWorkersDivisor = 5
	// firstRetryPause is how long an unreachable controller waits before it tries again
	// to serve machines. The pause is doubled each time, up to maxRetryPause.
	firstRetryPause = 30 * time.Second
	maxRetryPause   = 8 * time.Minute
)

// reachability is the state for the detection of members that workers can't reach although
// these members renew their leases. Their workers repeatedly send heartbeats to other
// controllers, and would lose their own leases if no other controller took over their shards.
type reachability struct {
	redirected    map[protocol.MachineID]redirectedWorker
	excluded      bool          // the current view lists this controller as unreachable
	excludedSince clock.Time    // when the view first listed it
	retryPause    time.Duration // how long this controller stays listed before it tries again
}

// redirectedWorker is a worker that sends its heartbeats to this controller although
// another controller dispatches to it.
type redirectedWorker struct {
	lastAttemptAt clock.Time // when its last attempt began
	attempts      int        // attempts that this controller redirected: see NoteRedirected
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
// to other controllers, and updates whether this controller is excluded. If the view newly
// lists it, the pause until it tries again starts, twice as long as the last one.
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

// NoteRedirected counts a heartbeat of a worker whose machine another controller dispatches to.
// Heartbeats less than attemptInterval after the last attempt began count as the same attempt.
// The count of attempts restarts if the last one began more than redirectWindow ago, or if the
// machine's shard has a new holder.
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

// unreachableNodes lists those of the given members that the next view should list as
// unreachable, in order of their names: those that remain listed, and other controllers of
// whose workers at least minWorkers, and at least one in minWorkersDivisor of their machines,
// were redirected by this controller.
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

// redirectedByDispatcher counts, for each controller that dispatches to machines, the workers
// of these machines that made at least minRedirects attempts here, the last one within
// redirectWindow, while the shard had its present holder.
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

// machinesByDispatcher counts, for each controller, the registered machines that it dispatches
// to.
func (ms *Members) machinesByDispatcher() map[protocol.NodeName]int {
	count := map[protocol.NodeName]int{}
	for machine := range ms.Records {
		count[ms.DispatcherOf(machine)]++
	}
	return count
}
