package sharding

import (
	"cmp"
	"math"
	"slices"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Member is a controller that may hold shards.
type Member struct {
	Name    protocol.NodeName
	Session protocol.LeaseID
	Zone    protocol.Zone
	Weight  float64 // its capacity relative to the others'; 0: it is to hold no shards
}

// Move is a shard that is to go from its holder to another member.
type Move struct {
	ID    ID
	To    protocol.LeaseID
	Cause string
}

// Orphans lists the moves of shards whose holder is not a member, or is to hold no
// shards; all others stay where they are.
func Orphans(table *record.ShardTable, load []float64, members []Member) []Move {
	a := newAssignment(table, load, members)
	a.assignOrphans()
	return a.changes()
}

// Rebalanced lists the moves that spread the load over the members by their weights, in
// the order in which they should be made. After the first few of them the rest is still
// wanted.
func Rebalanced(table *record.ShardTable, load []float64, members []Member) []Move {
	a := newAssignment(table, load, members)
	a.assignOrphans()
	a.evenOut()
	a.localize()
	return a.changes()
}

// slack is the fraction of its target by which a member's load may exceed it before a
// shard moves. Without it, each machine that comes or goes would move some shards.
const slack = 0.15

// noMember and noShard stand in for an index of a member and of a shard.
const (
	noMember = -1
	noShard  = -1
)

// assignment is a working copy of who holds which shard.
type assignment struct {
	*record.ShardTable
	load    []float64 // of each shard
	largest float64   // the largest of these
	members []Member  // in order of their names
	target  []float64 // load that each member should hold
	held    []float64 // load that each member holds
	holder  []int     // index of each shard's holder in members, or noMember
	order   []ID      // shards whose holder changes, in the order in which they should move
}

func newAssignment(table *record.ShardTable, load []float64, members []Member) *assignment {
	a := &assignment{
		ShardTable: table,
		load:       load,
		members:    slices.Clone(members),
		target:     make([]float64, len(members)),
		held:       make([]float64, len(members)),
		holder:     make([]int, len(table.List)),
	}
	slices.SortFunc(a.members, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	a.setTargets()
	for id, shard := range table.List {
		a.holder[id] = slices.IndexFunc(a.members, func(m Member) bool {
			return m.Session == shard.Holder && shard.Holder != 0
		})
		if i := a.holder[id]; i != noMember {
			a.held[i] += load[id]
		}
	}
	return a
}

// setTargets divides the load of all shards among the members by their weights.
func (a *assignment) setTargets() {
	total, weights := 0.0, 0.0
	for _, load := range a.load {
		total += load
		a.largest = max(a.largest, load)
	}
	for _, m := range a.members {
		weights += m.Weight
	}
	if weights <= 0 {
		return
	}
	for i, m := range a.members {
		a.target[i] = total * m.Weight / weights
	}
}

// changes lists the shards whose holder differs from the table's.
func (a *assignment) changes() (moves []Move) {
	for _, id := range a.order {
		to := a.members[a.holder[id]].Session
		if to != a.List[id].Holder {
			moves = append(moves, Move{ID: id, To: to})
		}
	}
	return moves
}

// give makes a member the holder of a shard.
func (a *assignment) give(id, to int) {
	if from := a.holder[id]; from != noMember {
		a.held[from] -= a.load[id]
	}
	a.holder[id] = to
	a.held[to] += a.load[id]
	if !slices.Contains(a.order, ID(id)) {
		a.order = append(a.order, ID(id))
	}
}

// utilization is the load of a member, with some more added, relative to its target.
func (a *assignment) utilization(i int, more float64) float64 {
	if a.target[i] == 0 {
		return math.Inf(1)
	}
	return (a.held[i] + more) / a.target[i]
}

// tolerance is by how much the load of a member may differ from its target.
func (a *assignment) tolerance(i int) float64 { return max(slack*a.target[i], a.largest) }

// limit is the highest load that a member may hold.
func (a *assignment) limit(i int) float64 { return a.target[i] + a.tolerance(i) }

// isLocal reports whether a member is in a shard's zone. A shard that is held in its
// own zone is served while the zone is cut off from the others, and one that is held
// elsewhere is not affected by that.
func (a *assignment) isLocal(id, i int) bool {
	return a.members[i].Zone != "" && a.members[i].Zone == ZoneOf(a.ShardTable, ID(id))
}

// fitsLocally reports whether a member is in a shard's zone and has capacity for it.
func (a *assignment) fitsLocally(id, i int) bool {
	return a.isLocal(id, i) && a.held[i]+a.load[id] <= a.limit(i)
}

// firstLocal returns the first member in a shard's zone that may hold shards.
func (a *assignment) firstLocal(id int) int {
	for i := range a.members {
		if a.target[i] > 0 && a.isLocal(id, i) {
			return i
		}
	}
	return noMember
}

// assignOrphans gives the shards without a holder, or whose holder is to hold none, to
// other members: to one in the shard's zone that has capacity, else to the one with the
// lowest utilization.
func (a *assignment) assignOrphans() {
	for id, holder := range a.holder {
		if holder != noMember && a.members[holder].Weight > 0 {
			continue
		}
		if best := a.bestHolder(id); best != noMember {
			a.give(id, best)
		}
	}
}

// bestHolder returns the member that an orphaned shard should go to.
func (a *assignment) bestHolder(id int) int {
	best := noMember
	for i, m := range a.members {
		if m.Weight > 0 && (best == noMember || a.isBetterHolder(id, i, best)) {
			best = i
		}
	}
	return best
}

// isBetterHolder reports whether a shard should rather go to member i than to another.
func (a *assignment) isBetterHolder(id, i, other int) bool {
	fits, otherFits := a.fitsLocally(id, i), a.fitsLocally(id, other)
	if fits != otherFits {
		return fits
	}
	return a.utilization(i, a.load[id]) < a.utilization(other, a.load[id])
}

// evenOut moves shards from members above their limit to the one with the lowest
// utilization, and to members far below their target.
func (a *assignment) evenOut() {
	for range a.holder {
		from, to := a.nextPair()
		if from == noMember || to == noMember || from == to {
			return
		}
		id := a.bestShard(from, to)
		if id == noShard {
			return
		}
		a.give(id, to)
	}
}

// nextPair returns the members between which a shard should move next.
func (a *assignment) nextPair() (from, to int) {
	to = a.leastUtilized()
	from = a.mostUtilized(func(i int) bool { return a.held[i] > a.limit(i) })
	// A member that has just joined is due its load although no other is above its limit.
	if from == noMember && to != noMember && a.held[to] < a.target[to]-a.tolerance(to) {
		from = a.mostUtilized(func(i int) bool { return i != to })
	}
	return from, to
}

// mostUtilized returns the member with the highest utilization of those that match.
func (a *assignment) mostUtilized(match func(i int) bool) int {
	most := noMember
	for i := range a.members {
		if match(i) && (most == noMember || a.utilization(i, 0) > a.utilization(most, 0)) {
			most = i
		}
	}
	return most
}

// leastUtilized returns the member with the lowest utilization of those that may hold
// shards.
func (a *assignment) leastUtilized() int {
	least := noMember
	for i := range a.members {
		if a.target[i] > 0 && (least == noMember || a.utilization(i, 0) < a.utilization(least, 0)) {
			least = i
		}
	}
	return least
}

// bestShard returns the shard that should move from one member to another: one that
// gets into its zone by that, or at least does not leave it, if there is any. The
// target must not end up with a higher utilization than the source has now.
func (a *assignment) bestShard(from, to int) int {
	best, bestScore := noShard, 0
	for id, holder := range a.holder {
		if holder != from || a.utilization(to, a.load[id]) > a.utilization(from, 0) {
			continue
		}
		if score := a.moveScore(id, from, to); score > bestScore {
			best, bestScore = id, score
		}
	}
	return best
}

// moveScore ranks a move by what it does for the locality of a shard.
func (a *assignment) moveScore(id, from, to int) int {
	score := 1
	if a.isLocal(id, to) {
		score += 2
	}
	if !a.isLocal(id, from) {
		score++
	}
	return score
}

// localize moves shards to a member of their zone where it has capacity, or holds a
// shard of another zone that it can give in exchange.
func (a *assignment) localize() {
	for id, holder := range a.holder {
		if holder == noMember || a.isLocal(id, holder) {
			continue
		}
		local := a.firstLocal(id)
		if local == noMember {
			continue
		}
		if a.canMove(id, holder, local) {
			a.give(id, local)
			continue
		}
		a.exchange(id, holder, local)
	}
}

// canMove reports whether both members stay near their targets when a shard moves.
func (a *assignment) canMove(id, from, to int) bool {
	return a.held[to]+a.load[id] <= a.target[to]+a.largest &&
		a.held[from]-a.load[id] >= a.target[from]-a.tolerance(from)
}

// exchange moves a shard to a member of its zone, and back the first shard that gets
// into its own zone by that, or that no member is local to. Without such a shard nothing
// moves.
func (a *assignment) exchange(id, holder, local int) {
	for other, otherHolder := range a.holder {
		if otherHolder != local || a.isLocal(other, local) {
			continue
		}
		if a.isLocal(other, holder) || a.firstLocal(other) == noMember {
			a.give(id, local)
			a.give(other, holder)
			return
		}
	}
}
