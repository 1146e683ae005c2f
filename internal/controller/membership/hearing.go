package membership

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// reachability notices members that workers can't reach, though they keep their
// lease. Their machines come astray to other controllers again and again, and
// would lose their leases if nobody else kept them.
type reachability struct {
	redirected    map[protocol.MachineID]redirectedWorker
	excluded      bool       // this controller, by the view
	excludedSince clock.Time // when it became so
	retryPause    time.Duration
}

type redirectedWorker struct {
	last     clock.Time
	attempts int
	zone     protocol.Zone
	// shardEpoch is that of who keeps it: workers are sent to another when it changes.
	shardEpoch protocol.Term
}

const (
	// redirectWindow is how long a stray report counts: workers wait 4 s for an
	// answer and go from one controller to the next.
	redirectWindow = 15 * time.Second
	// firstRetryPause is how long a deaf controller waits before it tries again to
	// keep machines, doubled each time.
	firstRetryPause = 30 * time.Second
	maxRetryPause   = 8 * time.Minute
)

func newReachability() reachability {
	return reachability{redirected: map[protocol.MachineID]redirectedWorker{}}
}

// adopted starts counting anew: a new view sends workers to others.
func (h *reachability) adopted(v record.View, self protocol.NodeName, now clock.Time) {
	clear(h.redirected)
	deaf := slices.Contains(v.Deaf, self)
	if deaf && !h.excluded {
		h.excludedSince = now
		h.retryPause = min(max(2*h.retryPause, firstRetryPause), maxRetryPause)
	}
	h.excluded = deaf
}

// NoteRedirected counts a report that belongs to another controller.
func (ms *Members) NoteRedirected(m protocol.MachineID, z protocol.Zone) {
	s, tenure := ms.reachability.redirected[m], ms.ShardEpoch(m, z)
	if s.attempts > 0 && (ms.Since(s.last) > redirectWindow || s.shardEpoch != tenure) {
		s.attempts = 0
	}
	if s.attempts > 0 && ms.Since(s.last) < time.Second {
		return // the same try
	}
	ms.reachability.redirected[m] = redirectedWorker{ms.Now, s.attempts + 1, z, tenure}
}

// unreachableNodes is what the next view should say of who can't be reached.
func (ms *Members) unreachableNodes(members map[protocol.NodeName]protocol.LeaseID) []protocol.NodeName {
	var deaf []protocol.NodeName
	for _, n := range ms.View.Deaf {
		ended := n == ms.Self && ms.Since(ms.reachability.excludedSince) > ms.reachability.retryPause
		if members[n] != 0 && members[n] == ms.View.Members[n] && !ended {
			deaf = append(deaf, n)
		}
	}
	astray, kept := map[protocol.NodeName]int{}, map[protocol.NodeName]int{}
	for m, s := range ms.reachability.redirected {
		if s.attempts >= 2 && ms.Since(s.last) <= redirectWindow && s.shardEpoch == ms.ShardEpoch(m, s.zone) {
			astray[ms.DispatcherInZone(m, s.zone)]++
		}
	}
	if len(astray) > 0 {
		for m := range ms.Records {
			kept[ms.DispatcherOf(m)]++
		}
	}
	for n, k := range astray {
		// Several controllers share the stray workers: a fifth of a
		// controller's machines, and more than one, speak for the rest.
		if n != ms.Self && members[n] != 0 && k >= 2 && 5*k >= kept[n] && !slices.Contains(deaf, n) {
			ms.Log.Info("workers can't reach a controller: others keep its machines", "controller", n, "astray", k, "kept", kept[n])
			deaf = append(deaf, n)
		}
	}
	slices.Sort(deaf)
	return deaf
}
