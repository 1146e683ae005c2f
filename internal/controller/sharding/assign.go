package sharding

import (
	"cmp"
	"math"
	"slices"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Member is a controller that may keep shares.
type Member struct {
	Name    protocol.NodeName
	Session protocol.LeaseID
	Zone    protocol.Zone
	Weight  float64 // reservation what it can do, beside the others'; 0: it is to keep nothing
}

// slack is by which part of its due a member may keep more before a share moves:
// removeWaits it each machine that comes or goes would move some.
const slack = 0.15

// assignment is who keeps what while it is reckoned.
type assignment struct {
	*record.ShardTable
	load    []float64 // reservation each share
	largest float64
	members []Member // in order of their names
	target  []float64
	has     []float64
	holder  []int // reservation each share: its place in members; -1: nobody
	order   []ID  // shares that change hands, in the order in which they should
}

func newAssignment(s *record.ShardTable, load []float64, members []Member) *assignment {
	a := &assignment{ShardTable: s, load: load, members: slices.Clone(members), holder: make([]int, len(s.List))}
	slices.SortFunc(a.members, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	a.target, a.has = make([]float64, len(a.members)), make([]float64, len(a.members))
	total, weights := 0.0, 0.0
	for _, l := range load {
		total += l
		a.largest = max(a.largest, l)
	}
	for _, m := range a.members {
		weights += m.Weight
	}
	for i, m := range a.members {
		if weights > 0 {
			a.target[i] = total * m.Weight / weights
		}
	}
	for id, st := range s.List {
		a.holder[id] = slices.IndexFunc(a.members, func(m Member) bool { return m.Session == st.Holder && st.Holder != 0 })
		if i := a.holder[id]; i >= 0 {
			a.has[i] += load[id]
		}
	}
	return a
}

func (a *assignment) give(id, to int) {
	if from := a.holder[id]; from >= 0 {
		a.has[from] -= a.load[id]
	}
	a.holder[id] = to
	a.has[to] += a.load[id]
	if !slices.Contains(a.order, ID(id)) {
		a.order = append(a.order, ID(id))
	}
}

// full is how much of what it may keep a member would have with a share more.
func (a *assignment) full(i int, more float64) float64 {
	if a.target[i] == 0 {
		return math.Inf(1)
	}
	return (a.has[i] + more) / a.target[i]
}

// most is what a member may keep at the most.
func (a *assignment) most(i int) float64 { return a.target[i] + max(slack*a.target[i], a.largest) }

func (a *assignment) zone(id int) protocol.Zone { return ZoneOf(a.ShardTable, ID(id)) }

// home reports whether a member is in a share's zone. What is kept inside its
// zone goes on while that is cut off, and what is outside does not notice.
func (a *assignment) home(id, i int) bool {
	return a.members[i].Zone != "" && a.members[i].Zone == a.zone(id)
}

// settle gives what has no holder, or one that is to keep nothing, to others: to
// one of its zone that may keep it, else where the least is.
func (a *assignment) settle() {
	for id, h := range a.holder {
		if h >= 0 && a.members[h].Weight > 0 {
			continue
		}
		best := -1
		for i, m := range a.members {
			if m.Weight <= 0 {
				continue
			}
			better := func(than int) bool {
				hi, ht := a.home(id, i) && a.has[i]+a.load[id] <= a.most(i), a.home(id, than) && a.has[than]+a.load[id] <= a.most(than)
				if hi != ht {
					return hi
				}
				return a.full(i, a.load[id]) < a.full(than, a.load[id])
			}
			if best < 0 || better(best) {
				best = i
			}
		}
		if best >= 0 {
			a.give(id, best)
		}
	}
}

// even moves shares from who keeps more than it may to who keeps the least, those
// first that then are in their zone and were not.
func (a *assignment) even() {
	for range a.holder {
		from, to := -1, -1
		for i := range a.members {
			if a.has[i] > a.most(i) && (from < 0 || a.full(i, 0) > a.full(from, 0)) {
				from = i
			}
			if a.target[i] > 0 && (to < 0 || a.full(i, 0) < a.full(to, 0)) {
				to = i
			}
		}
		// Who has nothing yet is due its part, though nobody has far too much.
		if from < 0 && to >= 0 && a.has[to] < a.target[to]-max(slack*a.target[to], a.largest) {
			for i := range a.members {
				if i != to && (from < 0 || a.full(i, 0) > a.full(from, 0)) {
					from = i
				}
			}
		}
		if from < 0 || to < 0 || from == to {
			return
		}
		best, score := -1, 0
		for id, h := range a.holder {
			if h != from || a.full(to, a.load[id]) > a.full(from, 0) {
				continue
			}
			s := 1
			if a.home(id, to) {
				s += 2
			}
			if !a.home(id, from) {
				s++
			}
			if s > score {
				best, score = id, s
			}
		}
		if best < 0 {
			return
		}
		a.give(best, to)
	}
}

// bringHome gives shares to a member of their zone where it may keep more, or has
// one of another zone to give for it.
func (a *assignment) bringHome() {
	for id, h := range a.holder {
		if h < 0 || a.home(id, h) {
			continue
		}
		for i := range a.members {
			if !a.home(id, i) || a.target[i] == 0 {
				continue
			}
			if a.has[i]+a.load[id] <= a.target[i]+a.largest && a.has[h]-a.load[id] >= a.target[h]-max(slack*a.target[h], a.largest) {
				a.give(id, i)
				break
			}
			for other, holder := range a.holder {
				if holder == i && !a.home(other, i) && (a.home(other, h) || !a.anyHome(other)) {
					a.give(id, i)
					a.give(other, h)
					break
				}
			}
			break
		}
	}
}

// anyHome reports whether any member that may keep shares is in a share's zone.
func (a *assignment) anyHome(id int) bool {
	for i := range a.members {
		if a.target[i] > 0 && a.home(id, i) {
			return true
		}
	}
	return false
}

// Orphans lists who takes over the shares whose holders are no members, or are to
// keep nothing; all others stay where they are.
func Orphans(s *record.ShardTable, load []float64, members []Member) []Move {
	a := newAssignment(s, load, members)
	a.settle()
	return a.changes()
}

// Rebalanced lists the shares that should be elsewhere, and where, in the order in which
// they should move: after the first few have, the rest is wanted still.
func Rebalanced(s *record.ShardTable, load []float64, members []Member) []Move {
	a := newAssignment(s, load, members)
	a.settle()
	a.even()
	a.bringHome()
	return a.changes()
}

func (a *assignment) changes() (moves []Move) {
	for _, id := range a.order {
		if to := a.members[a.holder[id]].Session; to != a.List[id].Holder {
			moves = append(moves, Move{ID: id, To: to})
		}
	}
	return moves
}

// Loads reckons the load of each share from the machines of each zone: alike in a
// zone, since machines are spread over its shares by chance.
func Loads(s *record.ShardTable, machines map[protocol.Zone]int) []float64 {
	load := make([]float64, len(s.List))
	for id := range load {
		load[id] = 1 + float64(machines[ZoneOf(s, ID(id))])/float64(s.Slots)
	}
	return load
}
