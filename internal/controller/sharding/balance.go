package sharding

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// MemberLoad is what is known of a member that may keep shares.
type MemberLoad struct {
	Member
	Late        time.Duration // reservation its ticks, on average
	Leaving     bool          // it is to end
	Away        bool          // operators have told it to keep nothing
	Unreachable bool
	Warm        bool // it has taken part for a while, and its word is heard
}

// Move is a share that is to go from its holder to another member.
type Move struct {
	ID    ID
	To    protocol.LeaseID
	Cause string
}

const (
	// movesAtOnce bounds the shares under way at a time, and leavingAtOnce those of
	// a member that is to end.
	movesAtOnce   = 8
	leavingAtOnce = 64
	// moveWithin is how long a move may take; one that has not come about by then
	// is not tried again for moveCooldown.
	moveWithin   = 5 * time.Second
	moveCooldown = 20 * time.Second
	// rest is what passes between one lot of moves and the next.
	rest = time.Second
	// lateTick is from when on ticks are late, and tooLate how many times as late as
	// the others' those of a slow member are: where all are late, moving helps
	// nobody.
	lateTick = 150 * time.Millisecond
	tooLate  = 3
	// slowerAfter and fasterAfter are how long a member is slow, or is not, before
	// it keeps less, or more again: coming back takes longer than going.
	slowerAfter = 5 * time.Second
	fasterAfter = 30 * time.Second
)

// weights are the steps in which a slow member keeps less.
var weights = []float64{1, 0.7, 0.5, 0.35, 0.25}

// Balancer decides which shares move. It keeps what it has asked for, and how slow
// members were found to be.
type Balancer struct {
	moving  map[ID]moving
	restTil clock.Time
	paces   map[protocol.LeaseID]pace
}

// releaseAsked is a share that was asked to move in a tenure.
type moving struct {
	tenure protocol.Term
	at     clock.Time
}

// pace is how slow a member is: a step of weights, and since when it has looked
// slower or faster than that.
type pace struct {
	step           int
	slower, faster clock.Time
}

// Step lists the shares that are to begin to move now.
func (b *Balancer) Step(now clock.Time, s *record.ShardTable, load []float64, seen []MemberLoad) []Move {
	leaving, away := b.weigh(now, seen), b.underWay(now, s)
	if away > 0 && !leaving || now < b.restTil && !leaving {
		return nil
	}
	members := make([]Member, 0, len(seen))
	session := map[protocol.LeaseID]*MemberLoad{}
	for i := range seen {
		m := seen[i].Member
		m.Weight = b.weight(&seen[i])
		members = append(members, m)
		session[m.Session] = &seen[i]
		if !seen[i].Warm && !leaving {
			return nil // what it can do is not known yet
		}
	}
	var moves []Move
	for _, m := range Rebalanced(s, load, members) {
		from := session[s.List[m.ID].Holder]
		if _, asked := b.moving[m.ID]; asked || from == nil {
			continue // what nobody keeps goes with the next view
		}
		m.Cause = "balance"
		most := movesAtOnce
		switch {
		case from.Leaving:
			m.Cause, most = "leaving", leavingAtOnce
		case leaving:
			continue // that comes first
		case from.Away:
			m.Cause = "away"
		case from.Unreachable:
			m.Cause = "deaf"
		case b.paces[from.Session].step > 0:
			m.Cause = "slow"
		}
		if away+len(moves) < most {
			moves = append(moves, m)
			b.moving[m.ID] = moving{tenure: s.List[m.ID].Since, at: now}
		}
	}
	if len(moves) > 0 {
		b.restTil = now + clock.Time(rest)
	}
	return moves
}

// chunksInFlight forgets the moves that have come about, or did not in time, and counts
// the rest.
func (b *Balancer) underWay(now clock.Time, s *record.ShardTable) (n int) {
	if b.moving == nil {
		b.moving = map[ID]moving{}
	}
	for id, m := range b.moving {
		switch took := time.Duration(now - m.at); {
		case int(id) >= len(s.List) || s.List[id].Since != m.tenure || took > moveCooldown:
			delete(b.moving, id)
			if took <= moveWithin {
				b.restTil = max(b.restTil, now+clock.Time(rest))
			}
		case took <= moveWithin:
			n++
		}
	}
	return n
}

// evaluate finds who is slower than the others, or no more, and reports whether
// anybody is to end.
func (b *Balancer) weigh(now clock.Time, seen []MemberLoad) (leaving bool) {
	if b.paces == nil {
		b.paces = map[protocol.LeaseID]pace{}
	}
	var lates []time.Duration
	for i := range seen {
		lates = append(lates, seen[i].Late)
		leaving = leaving || seen[i].Leaving
	}
	slices.Sort(lates)
	present := map[protocol.LeaseID]bool{}
	for i := range seen {
		m := &seen[i]
		present[m.Session] = true
		p := b.paces[m.Session]
		slow := len(lates) > 1 && m.Late > lateTick && m.Late > tooLate*lates[(len(lates)-1)/2]
		if slow {
			p.faster = 0
		} else {
			p.slower = 0
		}
		switch {
		case slow && p.slower == 0:
			p.slower = now
		case slow && time.Duration(now-p.slower) >= slowerAfter && p.step < len(weights)-1:
			p.step, p.slower = p.step+1, now
		case !slow && p.step > 0 && p.faster == 0:
			p.faster = now
		case !slow && p.step > 0 && time.Duration(now-p.faster) >= fasterAfter:
			p.step, p.faster = p.step-1, now
		}
		b.paces[m.Session] = p
	}
	for session := range b.paces {
		if !present[session] {
			delete(b.paces, session)
		}
	}
	return leaving
}

// weight is what a member may keep beside the others.
func (b *Balancer) weight(m *MemberLoad) float64 {
	if m.Leaving || m.Away || m.Unreachable {
		return 0
	}
	return weights[b.paces[m.Session].step]
}
