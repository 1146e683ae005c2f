package sharding

import (
	"cmp"
	"math"
	"slices"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Member is a member of the view, which may hold shards.
type Member struct {
	Name    protocol.NodeName
	Session protocol.LeaseID
	Zone    protocol.Zone
	Weight  float64 // capacity relative to the other members'; 0 if it should hold no shards
}

// Move is a planned change of the holder of a shard.
type Move struct {
	Shard ID
	To    protocol.LeaseID
	Cause string
}

// OrphanMoves lists the moves of shards whose holder is not a member or should hold no
// shards. All other shards keep their holders.
func OrphanMoves(table *record.ShardTable, load []float64, members []Member) []Move {
	a := newAssignment(table, load, members)
	a.assignOrphans()
	return a.changes()
}

// RebalancingMoves lists the moves that distribute the load over the members by their weights,
// in the order in which they should be made. If only the first few of them are made, the
// next call still returns the rest.
func RebalancingMoves(table *record.ShardTable, load []float64, members []Member) []Move {
	a := newAssignment(table, load, members)
	a.assignOrphans()
	a.balanceLoad()
	a.localize()
	return a.changes()
}

// toleranceFraction is the fraction of its target by which a member's load may differ
// from the target before a shard moves. Without it, each machine that is added or removed
// would move some shards.
const toleranceFraction = 0.15

// noMember and noShard mean that there is no such member or shard; they are used in place
// of an index.
const (
	noMember = -1
	noShard  = -1
)

// assignment is a working copy of the holders of the shards.
type assignment struct {
	*record.ShardTable
	load        []float64 // load of each shard
	largestLoad float64   // the largest load of a shard
	members     []Member  // in order of their names
	targetLoad  []float64 // load that each member should hold
	heldLoad    []float64 // load that each member holds
	holder      []int     // index of each shard's holder in members, or noMember
	moveOrder   []ID      // shards whose holder changes, in the order in which they should move
}

func newAssignment(table *record.ShardTable, load []float64, members []Member) *assignment {
	a := &assignment{
		ShardTable: table,
		load:       load,
		members:    slices.Clone(members),
		targetLoad: make([]float64, len(members)),
		heldLoad:   make([]float64, len(members)),
		holder:     make([]int, len(table.List)),
	}
	slices.SortFunc(a.members, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	a.setTargets()
	for id, shard := range table.List {
		a.holder[id] = slices.IndexFunc(a.members, func(m Member) bool {
			return m.Session == shard.Holder && shard.Holder != 0
		})
		if i := a.holder[id]; i != noMember {
			a.heldLoad[i] += load[id]
		}
	}
	return a
}

// setTargets divides the load of all shards among the members by their weights.
func (a *assignment) setTargets() {
	total, weights := 0.0, 0.0
	for _, load := range a.load {
		total += load
		a.largestLoad = max(a.largestLoad, load)
	}
	for _, m := range a.members {
		weights += m.Weight
	}
	if weights <= 0 {
		return
	}
	for i, m := range a.members {
		a.targetLoad[i] = total * m.Weight / weights
	}
}

// changes lists the shards whose holder differs from the table's.
func (a *assignment) changes() (moves []Move) {
	for _, id := range a.moveOrder {
		to := a.members[a.holder[id]].Session
		if to != a.List[id].Holder {
			moves = append(moves, Move{Shard: id, To: to})
		}
	}
	return moves
}

// assign makes a member the holder of a shard.
func (a *assignment) assign(id, to int) {
	if from := a.holder[id]; from != noMember {
		a.heldLoad[from] -= a.load[id]
	}
	a.holder[id] = to
	a.heldLoad[to] += a.load[id]
	if !slices.Contains(a.moveOrder, ID(id)) {
		a.moveOrder = append(a.moveOrder, ID(id))
	}
}

// utilization returns the load of a member plus some more, relative to its target.
func (a *assignment) utilization(i int, more float64) float64 {
	if a.targetLoad[i] == 0 {
		return math.Inf(1)
	}
	return (a.heldLoad[i] + more) / a.targetLoad[i]
}

// tolerance returns how much the load of a member may differ from its target.
func (a *assignment) tolerance(i int) float64 {
	return max(toleranceFraction*a.targetLoad[i], a.largestLoad)
}

// limit returns the highest load that a member may hold.
func (a *assignment) limit(i int) float64 { return a.targetLoad[i] + a.tolerance(i) }

// isLocal reports whether a member is in a shard's zone. A shard that is held in its own
// zone is still served while that zone is cut off from the others, and is not affected
// while another zone is cut off.
func (a *assignment) isLocal(id, i int) bool {
	return a.members[i].Zone != "" && a.members[i].Zone == ZoneOf(a.ShardTable, ID(id))
}

// fitsLocally reports whether a member is in a shard's zone and has capacity for it.
func (a *assignment) fitsLocally(id, i int) bool {
	return a.isLocal(id, i) && a.heldLoad[i]+a.load[id] <= a.limit(i)
}

// firstLocal returns the first member in a shard's zone that may hold shards, or noMember.
func (a *assignment) firstLocal(id int) int {
	for i := range a.members {
		if a.targetLoad[i] > 0 && a.isLocal(id, i) {
			return i
		}
	}
	return noMember
}

// assignOrphans assigns the shards without a holder, or whose holder should hold none, to
// other members: to one in the shard's zone that has capacity, else to the one with the
// lowest utilization.
func (a *assignment) assignOrphans() {
	for id, holder := range a.holder {
		if holder != noMember && a.members[holder].Weight > 0 {
			continue
		}
		if best := a.bestHolder(id); best != noMember {
			a.assign(id, best)
		}
	}
}

// bestHolder returns the member that an orphaned shard should be assigned to.
func (a *assignment) bestHolder(id int) int {
	best := noMember
	for i, m := range a.members {
		if m.Weight > 0 && (best == noMember || a.isBetterHolder(id, i, best)) {
			best = i
		}
	}
	return best
}

// isBetterHolder reports whether member i is a better holder of a shard than another
// member.
func (a *assignment) isBetterHolder(id, i, other int) bool {
	fits, otherFits := a.fitsLocally(id, i), a.fitsLocally(id, other)
	if fits != otherFits {
		return fits
	}
	return a.utilization(i, a.load[id]) < a.utilization(other, a.load[id])
}

// balanceLoad moves shards from members above their limit to the one with the lowest
// utilization, and to members far below their target.
func (a *assignment) balanceLoad() {
	for range a.holder {
		from, to := a.nextSourceAndTarget()
		if from == noMember || to == noMember || from == to {
			return
		}
		id := a.bestShard(from, to)
		if id == noShard {
			return
		}
		a.assign(id, to)
	}
}

// nextSourceAndTarget returns the members between which a shard should move next.
func (a *assignment) nextSourceAndTarget() (from, to int) {
	to = a.leastUtilized()
	from = a.mostUtilized(func(i int) bool { return a.heldLoad[i] > a.limit(i) })
	// A member that has just joined should receive shards although no other member is
	// above its limit.
	if from == noMember && to != noMember && a.heldLoad[to] < a.targetLoad[to]-a.tolerance(to) {
		from = a.mostUtilized(func(i int) bool { return i != to })
	}
	return from, to
}

// mostUtilized returns the member with the highest utilization of those that match a
// condition.
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
		if a.targetLoad[i] > 0 && (least == noMember || a.utilization(i, 0) < a.utilization(least, 0)) {
			least = i
		}
	}
	return least
}

// bestShard returns the shard that should move from one member to another: preferably one
// that is local to the target, else one that at least is not local to the source, else
// any. After the move, the utilization of the target must not be higher than that of the
// source is now. It returns noShard if there is no such shard.
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

// moveScore ranks a move by its effect on the locality of the shard.
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

// localize moves shards to a member of their zone that has capacity, or that holds a
// shard of another zone to exchange for them.
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
			a.assign(id, local)
			continue
		}
		a.exchange(id, holder, local)
	}
}

// canMove reports whether both members stay near their target loads when a shard moves.
func (a *assignment) canMove(id, from, to int) bool {
	return a.heldLoad[to]+a.load[id] <= a.targetLoad[to]+a.largestLoad &&
		a.heldLoad[from]-a.load[id] >= a.targetLoad[from]-a.tolerance(from)
}

// exchange moves a shard to a member of its zone. In return it moves the first shard of
// that member that is local to the former holder, or that no member is local to. Nothing
// moves if there is no such shard.
func (a *assignment) exchange(id, holder, local int) {
	for other, otherHolder := range a.holder {
		if otherHolder != local || a.isLocal(other, local) {
			continue
		}
		if a.isLocal(other, holder) || a.firstLocal(other) == noMember {
			a.assign(id, local)
			a.assign(other, holder)
			return
		}
	}
}
