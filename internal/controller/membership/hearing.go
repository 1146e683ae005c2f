package membership

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// hearing notices members that workers can't reach, though they keep their
// lease. Their machines come astray to other controllers again and again, and
// would lose their leases if nobody else kept them.
type hearing struct {
	astray map[protocol.MachineID]stray
	deaf   bool       // this controller, by the view
	since  clock.Time // when it became so
	pause  time.Duration
}

type stray struct {
	last  clock.Time
	times int
	zone  protocol.Zone
	// tenure is that of who keeps it: workers are sent to another when it changes.
	tenure protocol.Term
}

const (
	// straySpan is how long a stray report counts: workers wait 4 s for an
	// answer and go from one controller to the next.
	straySpan = 15 * time.Second
	// deafPause is how long a deaf controller waits before it tries again to
	// keep machines, doubled each time.
	deafPause      = 30 * time.Second
	deafPauseLimit = 8 * time.Minute
)

func newHearing() hearing { return hearing{astray: map[protocol.MachineID]stray{}} }

// adopted starts counting anew: a new view sends workers to others.
func (h *hearing) adopted(v record.View, self protocol.NodeName, now clock.Time) {
	clear(h.astray)
	deaf := slices.Contains(v.Deaf, self)
	if deaf && !h.deaf {
		h.since = now
		h.pause = min(max(2*h.pause, deafPause), deafPauseLimit)
	}
	h.deaf = deaf
}

// Stray counts a report that belongs to another controller.
func (ms *Members) Stray(m protocol.MachineID, z protocol.Zone) {
	s, tenure := ms.hearing.astray[m], ms.Tenure(m, z)
	if s.times > 0 && (ms.Since(s.last) > straySpan || s.tenure != tenure) {
		s.times = 0
	}
	if s.times > 0 && ms.Since(s.last) < time.Second {
		return // the same try
	}
	ms.hearing.astray[m] = stray{ms.Now, s.times + 1, z, tenure}
}

// deafNodes is what the next view should say of who can't be reached.
func (ms *Members) deafNodes(members map[protocol.NodeName]protocol.LeaseID) []protocol.NodeName {
	var deaf []protocol.NodeName
	for _, n := range ms.View.Deaf {
		ended := n == ms.Self && ms.Since(ms.hearing.since) > ms.hearing.pause
		if members[n] != 0 && members[n] == ms.View.Members[n] && !ended {
			deaf = append(deaf, n)
		}
	}
	astray, kept := map[protocol.NodeName]int{}, map[protocol.NodeName]int{}
	for m, s := range ms.hearing.astray {
		if s.times >= 2 && ms.Since(s.last) <= straySpan && s.tenure == ms.Tenure(m, s.zone) {
			astray[ms.KeeperIn(m, s.zone)]++
		}
	}
	if len(astray) > 0 {
		for m := range ms.Records {
			kept[ms.Keeper(m)]++
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
