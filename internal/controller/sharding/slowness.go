package sharding

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
)

const (
	// A member is slow if its ticks are later than minSlowLateness and later than slowFactor
	// times the lateness of the median member's: if the ticks of all members are late, moving
	// shards does not help.
	minSlowLateness = 150 * time.Millisecond
	slowFactor      = 3
	// slowStepAfter is how long a member has to be slow before its weight falls by a step,
	// and recoverStepAfter how long it has to be not slow before its weight rises by a
	// step: the weight rises more slowly than it falls.
	slowStepAfter    = 5 * time.Second
	recoverStepAfter = 30 * time.Second
)

// weights are the weights of a member at each step of slowness.
var weights = []float64{1, 0.7, 0.5, 0.35, 0.25}

// slowness is the state from which the weight of a member follows: the longer the member
// is slow, the higher its step.
type slowness struct {
	step         int        // index in weights
	slowSince    clock.Time // since when it has been slow at this step; 0 if it is not slow
	notSlowSince clock.Time // since when it has not been slow at this step; 0 if it is slow
}

// observe returns the slowness after the observation whether the member is slow now. The step
// rises by 1 each time the member has been slow for slowStepAfter, and falls by 1 each time it
// has not been slow for recoverStepAfter.
func (s slowness) observe(now clock.Time, slow bool) slowness {
	if slow {
		s.notSlowSince = 0
		switch {
		case s.slowSince == 0:
			s.slowSince = now
		case now.Since(s.slowSince) >= slowStepAfter && s.step < len(weights)-1:
			s.step++
			s.slowSince = now
		}
		return s
	}
	s.slowSince = 0
	switch {
	case s.step == 0:
	case s.notSlowSince == 0:
		s.notSlowSince = now
	case now.Since(s.notSlowSince) >= recoverStepAfter:
		s.step--
		s.notSlowSince = now
	}
	return s
}

// updateSlowness updates the slowness of each member by whether its ticks are later than the
// threshold now, and deletes that of sessions that are no longer members. A single member is
// never slow.
func (b *Balancer) updateSlowness(now clock.Time, members []MemberLoad) {
	if b.slownessOf == nil {
		b.slownessOf = map[protocol.LeaseID]slowness{}
	}
	present := map[protocol.LeaseID]bool{}
	threshold := slowThreshold(members)
	for i := range members {
		m := &members[i]
		present[m.Session] = true
		slow := len(members) > 1 && m.TickLateness > threshold
		b.slownessOf[m.Session] = b.slownessOf[m.Session].observe(now, slow)
	}
	for session := range b.slownessOf {
		if !present[session] {
			delete(b.slownessOf, session)
		}
	}
}

// slowThreshold returns the lateness of ticks above which a member is slow: slowFactor times the
// median of the members' lateness, but at least minSlowLateness.
func slowThreshold(members []MemberLoad) time.Duration {
	if len(members) == 0 {
		return minSlowLateness
	}
	late := make([]time.Duration, 0, len(members))
	for i := range members {
		late = append(late, members[i].TickLateness)
	}
	slices.Sort(late)
	median := late[(len(late)-1)/2]
	return max(minSlowLateness, slowFactor*median)
}
