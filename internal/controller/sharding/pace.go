package sharding

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
)

const (
	// lateTick is from when on ticks count as late, and slowFactor how many times as
	// late as the median member's those of a slow member are: where all are late,
	// moving shards helps nobody.
	lateTick   = 150 * time.Millisecond
	slowFactor = 3
	// slowerAfter and fasterAfter are how long a member has to be slow, or not to be,
	// before its weight falls or rises by a step: it rises more slowly than it falls.
	slowerAfter = 5 * time.Second
	fasterAfter = 30 * time.Second
)

// weights are the steps in which the weight of a slow member falls.
var weights = []float64{1, 0.7, 0.5, 0.35, 0.25}

// pace is how slow a member is.
type pace struct {
	step        int        // index in weights
	slowerSince clock.Time // since when it has been slow at this step; 0: it is not
	fasterSince clock.Time // since when it has not been slow at this step; 0: it is
}

// next returns the pace after one more observation.
func (p pace) next(now clock.Time, slow bool) pace {
	if slow {
		p.fasterSince = 0
		switch {
		case p.slowerSince == 0:
			p.slowerSince = now
		case now.Since(p.slowerSince) >= slowerAfter && p.step < len(weights)-1:
			p.step++
			p.slowerSince = now
		}
		return p
	}
	p.slowerSince = 0
	switch {
	case p.step == 0:
	case p.fasterSince == 0:
		p.fasterSince = now
	case now.Since(p.fasterSince) >= fasterAfter:
		p.step--
		p.fasterSince = now
	}
	return p
}

// updatePaces notes which members are slower than the others now.
func (b *Balancer) updatePaces(now clock.Time, members []MemberLoad) {
	if b.paces == nil {
		b.paces = map[protocol.LeaseID]pace{}
	}
	present := map[protocol.LeaseID]bool{}
	threshold := slowThreshold(members)
	for i := range members {
		m := &members[i]
		present[m.Session] = true
		slow := len(members) > 1 && m.Late > threshold
		b.paces[m.Session] = b.paces[m.Session].next(now, slow)
	}
	for session := range b.paces {
		if !present[session] {
			delete(b.paces, session)
		}
	}
}

// slowThreshold is the lateness of ticks above which a member is slow.
func slowThreshold(members []MemberLoad) time.Duration {
	if len(members) == 0 {
		return lateTick
	}
	late := make([]time.Duration, 0, len(members))
	for i := range members {
		late = append(late, members[i].Late)
	}
	slices.Sort(late)
	median := late[(len(late)-1)/2]
	return max(lateTick, slowFactor*median)
}
